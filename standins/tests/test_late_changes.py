"""Changes of the published state that are in force too late, in simulated time."""

import random
import unittest
from collections.abc import Callable

from standins.tests.simulated_fleet import APPLY_MS, SimulatedFleet

DOMAINS = (3, 3, 2)
OFFSETS_MS = (0.0, 400.0, 1_000.0, 2_500.0, 3_900.0)
"""Time between the last change and a disturbance, on which the age of open watches depends."""
SEEDS = range(40)
DRAWN_MS = 40_000.0


class LateChangesTest(unittest.TestCase):
    def check_in_time(self, fleet: SimulatedFleet) -> None:
        fleet.run(8_000.0)
        self.assertEqual(fleet.late, [])

    # Guards against followers that wait at a reader whose connection to the store is silent.
    def test_change_is_in_force_in_time_while_all_readers_are_cut_off_from_the_store(self):
        for offset_ms in OFFSETS_MS:
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

    # Guards against waits on connections that are open and silent.
    def test_change_is_in_force_in_time_after_all_open_connections_fell_silent(self):
        for offset_ms in OFFSETS_MS:
            for change_after_ms in (100.0, 300.0, 900.0, 2_000.0):
                with self.subTest(offset_ms=offset_ms, change_after_ms=change_after_ms):
                    fleet = SimulatedFleet(2, DOMAINS)
                    fleet.change()
                    fleet.run(offset_ms)
                    fleet.silence_all()
                    fleet.run(change_after_ms)
                    fleet.change()
                    self.check_in_time(fleet)

    # Guards against calls that were sent in the last moments of an outage and are waited for after
    # it, although no answer will come on their connections.
    def test_change_is_in_force_in_time_after_a_silent_outage_of_the_store(self):
        for outage_ms in range(3_000, 3_700, 100):
            for change_after_ms in (50.0, 1_000.0, 3_700.0):
                with self.subTest(outage_ms=outage_ms, change_after_ms=change_after_ms):
                    fleet = SimulatedFleet(6, DOMAINS)
                    fleet.change()
                    fleet.silence_all()
                    fleet.lose_responses(1.0, outage_ms)
                    fleet.run(outage_ms + change_after_ms)
                    fleet.change()
                    fleet.run(2_000.0)
                    fleet.write_searcher()
                    fleet.run(2_000.0)
                    fleet.change()
                    self.check_in_time(fleet)

    # Guards against a long watch of a restored store that stands at the revision of before.
    def test_change_is_in_force_in_time_after_the_store_was_restored_to_the_same_revision(self):
        for away_ms in (800.0, 2_000.0):
            for silently in (False, True):
                for writes in (0, 4):
                    with self.subTest(away_ms=away_ms, silently=silently, writes=writes):
                        fleet = SimulatedFleet(3, DOMAINS)
                        fleet.restore_store(silently, away_ms, writes)
                        self.check_in_time(fleet)

    # Guards against a question on an idle connection that has died since it was last used.
    def test_change_is_in_force_in_time_although_idle_connections_to_the_store_have_died(self):
        for offset_ms in range(0, 1_600, 200):
            with self.subTest(offset_ms=offset_ms):
                fleet = SimulatedFleet(4, DOMAINS)
                readers = fleet.readers
                followers = [entry for entry in fleet.entries if entry not in readers]
                for reader in readers:
                    # Meanwhile the others ask the store.
                    fleet.kill(reader, 500.0)
                fleet.run(5_000.0)
                for entry in followers:
                    fleet.silence_to_store(entry)
                fleet.run(4_500.0 + offset_ms)
                for reader in readers:
                    fleet.cut_from_store(reader, 7_000.0)
                fleet.change()
                self.check_in_time(fleet)

    # Guards against a store that is never read, as each question ends before its answer.
    def test_changes_are_followed_while_the_store_is_slower_than_questions_usually_last(self):
        for delay_ms in (200.0, 600.0, 900.0, 1_500.0):
            with self.subTest(delay_ms=delay_ms):
                fleet = SimulatedFleet(5, DOMAINS)
                fleet.slow_down_store(delay_ms, 60_000.0)
                fleet.run(15_000.0)
                fleet.change()
                # A wait that is abandoned, a question that ends too early, and its repetition.
                fleet.run(APPLY_MS + 3 * delay_ms)
                known = [entry.plan.version for entry in fleet.entries]
                self.assertEqual(known, [fleet.version] * len(known))

    # Guards against late changes under disturbances that overlap.
    def test_changes_are_in_force_in_time_under_drawn_disturbances(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = SimulatedFleet(seed, random.Random(seed).choice(((3, 3, 2), (2, 2, 1, 1))))
                play(fleet, DRAWN_MS)
                self.check_in_time(fleet)


def play(fleet: SimulatedFleet, duration_ms: float) -> None:
    """Play changes and disturbances drawn by the fleet's random source."""
    rng = fleet.rng
    end_ms = fleet.timers.now_ms() + duration_ms
    while fleet.timers.now_ms() < end_ms:
        for _ in range(rng.choice((1, 1, 2, 3))):
            rng.choice(DISTURBANCES)(fleet, rng)
            fleet.run(rng.choice((0.0, 100.0, 500.0, 1_500.0)))
        # Longer than the bound, so that what is late is seen before the next disturbance.
        quiet_ms = rng.uniform(0.0, 9_000.0)
        until_ms = fleet.timers.now_ms() + quiet_ms
        while fleet.timers.now_ms() < until_ms:
            rng.choice((fleet.change, fleet.write_searcher, lambda: None))()
            fleet.run(rng.choice((100.0, 300.0, 1_000.0, 3_000.0)))


def _some(fleet: SimulatedFleet, rng: random.Random) -> list:
    """Draw some entries, often all readers, at most all but one."""
    if rng.random() < 0.5:
        return fleet.readers[: len(fleet.entries) - 1]
    return rng.sample(fleet.entries, rng.randrange(1, len(fleet.entries)))


def _for_each(disturb: Callable, low_ms: float, high_ms: float) -> Callable:
    def disturb_some(fleet: SimulatedFleet, rng: random.Random) -> None:
        for_ms = rng.uniform(low_ms, high_ms)
        for entry in _some(fleet, rng):
            disturb(fleet, entry, for_ms)

    return disturb_some


DISTURBANCES: tuple[Callable[[SimulatedFleet, random.Random], None], ...] = (
    _for_each(SimulatedFleet.cut_from_store, 500.0, 8_000.0),
    _for_each(SimulatedFleet.lose_power, 200.0, 5_000.0),
    _for_each(SimulatedFleet.cut_from_entries, 500.0, 8_000.0),
    _for_each(SimulatedFleet.kill, 100.0, 2_000.0),
    _for_each(lambda fleet, entry, for_ms: fleet.silence_to_store(entry), 0.0, 0.0),
    lambda fleet, rng: fleet.silence_all(),
    lambda fleet, rng: fleet.store.cut_watches(),
    lambda fleet, rng: (fleet.disturb(), fleet.store.compact()),
    lambda fleet, rng: fleet.refuse(rng.choice((429, 503)), rng.uniform(200.0, 5_000.0)),
    lambda fleet, rng: fleet.refuse(
        rng.choice((429, 503)), rng.uniform(200.0, 8_000.0), *_some(fleet, rng)
    ),
    lambda fleet, rng: fleet.slow_down_store(rng.uniform(20.0, 600.0), rng.uniform(500.0, 5_000.0)),
    lambda fleet, rng: fleet.lose_responses(rng.uniform(0.1, 0.6), rng.uniform(500.0, 4_000.0)),
    lambda fleet, rng: fleet.restore_store(
        rng.random() < 0.5, rng.choice((300.0, 800.0, 2_000.0)), rng.choice((0, 0, 1, 4))
    ),
)
"""Disturbances, which may overlap."""
