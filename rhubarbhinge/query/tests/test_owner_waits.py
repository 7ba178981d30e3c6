"""Tests of parts whose replicas briefly have no relay, or one that does not own them yet.

This happens to searches while relays reconnect, and while entries and relays disagree on the owner
of a searcher.
"""

import unittest

from rhubarbhinge.query import QueryPolicy, all_answers
from rhubarbhinge.query.tests import builders
from rhubarbhinge.query.tests.core_harness import CoreHarness
from rhubarbhinge.wire import SubCode


class OwnerWaitTest(unittest.TestCase):
    def setUp(self):
        traffic = builders.traffic_class(least_coverage=0.0, extra_load=0.0)
        self.harness = CoreHarness({1: [(1, 0, builders.KEYS)]}, traffic)
        self.relay = self.harness.relays[1]

    def start_unlinked(self, expected):
        del self.harness.relays[1]
        if expected:
            self.harness.expected.add(1)
        return self.harness.start(deadline_ms=5_000.0)

    def tick_until(self, end_ms):
        """Tick the core whenever it is due and return the effects."""
        effects = []
        while (due_ms := self.harness.core.next_due_ms()) is not None and due_ms <= end_ms:
            effects += self.harness.core.tick(due_ms)
        return effects

    def answered(self, row, now_ms):
        (answer,) = all_answers(self.harness.answer(row, now_ms))
        return answer.coverage

    def test_part_waits_for_an_expected_relay(self):
        """Guards against ranges given up at once while their relay reconnects."""
        self.assertEqual([], self.start_unlinked(expected=True))
        self.assertEqual([], self.tick_until(300.0))
        self.harness.relays[1] = self.relay
        (row,) = self.harness.sends(self.tick_until(400.0))
        self.assertEqual(1.0, self.answered(row, 410.0))

    def test_part_without_an_expected_relay_is_given_up_at_once(self):
        (answer,) = all_answers(self.start_unlinked(expected=False))
        self.assertEqual(["no-replica"], [missing.why for missing in answer.missing])

    def test_part_is_given_up_once_its_relay_is_no_longer_expected(self):
        self.start_unlinked(expected=True)
        self.assertEqual([], self.tick_until(300.0))
        self.harness.expected.clear()
        (answer,) = all_answers(self.tick_until(400.0))
        self.assertEqual(["no-replica"], [missing.why for missing in answer.missing])

    def test_class_that_prefers_latency_is_answered_at_half_the_deadline(self):
        self.start_unlinked(expected=True)
        self.assertEqual([], all_answers(self.tick_until(2_499.0)))
        (answer,) = all_answers(self.tick_until(2_500.0))
        self.assertEqual(["no-replica"], [missing.why for missing in answer.missing])

    def test_relay_that_does_not_own_a_replica_yet_is_retried_until_it_does(self):
        """Guards against using up all attempts before the relays agree on an owner."""
        (row,) = self.harness.sends(self.harness.start(deadline_ms=5_000.0))
        now_ms, refusals = 1.0, 0
        while now_ms < 600.0:
            self.assertEqual([], self.harness.answer(row, now_ms, SubCode.WRONG_RECEIVER))
            refusals += 1
            rows = []
            while not rows:
                now_ms = self.harness.core.next_due_ms()
                rows = self.harness.sends(self.harness.core.tick(now_ms))
            (row,) = rows
        self.assertGreater(refusals, QueryPolicy().max_attempts)
        self.assertEqual(1.0, self.answered(row, now_ms))

    def test_sub_queries_of_a_lost_relay_are_resent_to_it_without_a_token(self):
        """Guards against parts that wait for a token although none of their attempts runs."""
        self.harness.start(deadline_ms=5_000.0)
        self.harness.expected.add(1)
        del self.harness.relays[1]
        self.assertEqual([], self.harness.core.on_relay_lost(self.relay.name, 10.0))
        self.assertEqual([], self.tick_until(100.0))
        self.harness.relays[1] = self.relay
        (row,) = self.harness.sends(self.tick_until(200.0))
        self.assertEqual(1.0, self.answered(row, 210.0))


if __name__ == "__main__":
    unittest.main()
