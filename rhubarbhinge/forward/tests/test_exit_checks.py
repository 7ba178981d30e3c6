"""Checks whether a searcher whose connection broke has exited."""

import unittest

from rhubarbhinge.forward._exit_checks import CHECK_TIMEOUT_MS, ExitChecks
from rhubarbhinge.forward.tests.fakes import FakeWorld


class ExitChecksTest(unittest.TestCase):
    def setUp(self):
        self.world = FakeWorld()
        self.probed: list[str] = []
        self.told: list[bool] = []
        self.checks = ExitChecks(
            self.world.timers, lambda observed: self.probed.append(observed.searcher.incarnation)
        )
        self.observed = self.world.observed("shard-1")

    def check(self) -> None:
        self.checks.check(self.observed, self.told.append)

    def test_concurrent_checks_share_one_probe(self):
        self.check()
        self.check()
        self.checks.on_result(self.observed.start, ended=True)
        self.assertEqual((self.probed, self.told), (["shard-1"], [True, True]))

    def test_an_unresponsive_searcher_is_not_reported_as_exited(self):
        self.check()
        self.world.timers.advance(CHECK_TIMEOUT_MS - 1.0)
        self.assertEqual(self.told, [])
        self.world.timers.advance(1.0)
        self.assertEqual(self.told, [False])
        self.checks.on_result(self.observed.start, ended=True)
        self.assertEqual(self.told, [False])

    def test_pending_input_is_processed_before_a_check_times_out(self):
        # The event loop runs due timers before it reads from sockets, and may have been blocked
        # past the timeout.
        self.check()
        self.world.timers.after(CHECK_TIMEOUT_MS, self.refused)
        self.world.timers.advance(CHECK_TIMEOUT_MS + 1.0)
        self.assertEqual(self.told, [True])

    def refused(self) -> None:
        self.checks.on_result(self.observed.start, ended=True)

    def test_checks_of_different_searchers_are_independent(self):
        self.check()
        self.checks.on_result(self.world.observed("shard-2").start, ended=True)
        self.assertEqual(self.told, [])
