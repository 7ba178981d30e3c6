"""Changes of the published state that are in force too late, in simulated time."""

import unittest

from standins.tests.simulated_fleet import SimulatedFleet

DOMAINS = (3, 3, 2)


class LateChangesTest(unittest.TestCase):
    def check_in_time(self, fleet: SimulatedFleet) -> None:
        fleet.run(8_000.0)
        self.assertEqual(fleet.late, [])

    # Guards against followers that wait at a reader whose connection to the store is silent.
    def test_change_is_in_force_in_time_while_all_readers_are_cut_off_from_the_store(self):
        for offset_ms in (0.0, 400.0, 1_000.0, 2_500.0, 3_900.0):
            with self.subTest(offset_ms=offset_ms):
                fleet = SimulatedFleet(1, DOMAINS)
                fleet.change()
                fleet.run(offset_ms)
                readers = fleet.readers
                self.assertEqual(len(readers), len(DOMAINS))
                for reader in readers:
                    fleet.cut_from_store(reader, 7_000.0)
                fleet.run(100.0)
                fleet.change()
                self.check_in_time(fleet)
