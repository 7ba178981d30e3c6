"""Whether a searcher that broke a request off has ended."""

import unittest

from rhubarbhinge.forward._ended_checks import CHECK_MS, EndedChecks
from rhubarbhinge.forward.tests.fakes import FakeWorld


class EndedChecksTest(unittest.TestCase):
    def setUp(self):
        self.world = FakeWorld()
        self.probed: list[str] = []
        self.told: list[bool] = []
        self.checks = EndedChecks(
            self.world.timers, lambda observed: self.probed.append(observed.searcher.incarnation)
        )
        self.observed = self.world.observed("shard-1")

    def check(self) -> None:
        self.checks.check(self.observed, self.told.append)

    def test_requests_that_broke_off_together_share_one_probe(self):
        self.check()
        self.check()
        self.checks.found(self.observed.start, ended=True)
        self.assertEqual((self.probed, self.told), (["shard-1"], [True, True]))

    def test_a_searcher_of_which_nothing_is_heard_is_not_taken_for_ended(self):
        self.check()
        self.world.timers.advance(CHECK_MS - 1.0)
        self.assertEqual(self.told, [])
        self.world.timers.advance(1.0)
        self.assertEqual(self.told, [False])
        self.checks.found(self.observed.start, ended=True)
        self.assertEqual(self.told, [False])

    def test_what_has_come_is_read_before_a_check_is_given_up(self):
        # Due timers run first in a turn of the loop, and an entry may have been busy for longer.
        self.check()
        self.world.timers.after(CHECK_MS, self.refused)
        self.world.timers.advance(CHECK_MS + 1.0)
        self.assertEqual(self.told, [True])

    def refused(self) -> None:
        self.checks.found(self.observed.start, ended=True)

    def test_what_is_found_of_one_searcher_says_nothing_of_another(self):
        self.check()
        self.checks.found(self.world.observed("shard-2").start, ended=True)
        self.assertEqual(self.told, [])
