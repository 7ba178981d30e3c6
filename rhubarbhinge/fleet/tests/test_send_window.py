"""Send windows of searchers that refuse, and their recovery."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.fleet import Fleet, Searcher, SendWindow, best_searcher, expected_cost

TYPICAL_MS = 20.0
LIMIT = 8


class SendWindowTest(unittest.TestCase):
    def test_refusals_of_requests_in_flight_together_halve_once(self):
        """Guards against a single overload that closes the window completely."""
        window = SendWindow(LIMIT)
        self.assertTrue(window.on_refused(LIMIT, TYPICAL_MS, 1_000.0))
        self.assertFalse(window.on_refused(LIMIT, TYPICAL_MS, 1_019.0))
        self.assertEqual(window.size(LIMIT, 1_019.0), 4)
        self.assertTrue(window.on_refused(LIMIT, TYPICAL_MS, 1_020.0))
        self.assertEqual(window.size(LIMIT, 1_020.0), 2)

    def test_one_request_is_always_allowed(self):
        """Guards against a searcher that is never asked again."""
        window = SendWindow(LIMIT)
        for turn in range(10):
            window.on_refused(LIMIT, TYPICAL_MS, 1_000.0 + 100.0 * turn)
        self.assertEqual(window.size(LIMIT, 1_900.0), 1)
        self.assertFalse(window.on_refused(LIMIT, TYPICAL_MS, 2_000.0))

    def test_a_round_of_replies_adds_one_up_to_the_limit(self):
        window = SendWindow(LIMIT)
        window.on_refused(LIMIT, TYPICAL_MS, 1_000.0)
        for _ in range(5):
            window.on_reply(LIMIT, 1_010.0)
        self.assertEqual(window.size(LIMIT, 1_010.0), 5)
        for _ in range(100):
            window.on_reply(LIMIT, 1_010.0)
        self.assertEqual(window.size(LIMIT, 1_010.0), LIMIT)
        self.assertFalse(window.is_reduced(1_010.0))

    def test_the_window_is_restored_three_seconds_after_the_last_refusal(self):
        """Guards against a service that stays slow after its overload has ended."""
        window = SendWindow(LIMIT)
        window.on_refused(LIMIT, TYPICAL_MS, 1_000.0)
        window.on_refused(LIMIT, TYPICAL_MS, 1_010.0)
        self.assertEqual(window.size(LIMIT, 4_009.0), 4)
        self.assertEqual(window.size(LIMIT, 4_010.0), LIMIT)
        window.on_refused(LIMIT, TYPICAL_MS, 4_010.0)
        self.assertEqual(window.size(LIMIT, 4_010.0), 4)

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(st.lists(st.tuples(st.sampled_from("rfl"), st.integers(1, 20), st.floats(0, 4_000))))
    def test_the_window_stays_between_one_and_a_limit_that_changes(self, steps):
        window, now_ms = SendWindow(LIMIT), 0.0
        for kind, limit, passed_ms in steps:
            now_ms += passed_ms
            if kind == "r":
                window.on_refused(limit, TYPICAL_MS, now_ms)
            elif kind == "f":
                window.on_reply(limit, now_ms)
            self.assertTrue(1 <= window.size(limit, now_ms) <= limit)


class RecoveryTest(unittest.TestCase):
    def test_a_searcher_that_shed_load_is_used_again_within_three_seconds(self):
        """Guards against a searcher that stays unused after it has recovered.

        Load: one of three searchers refuses 45% of its requests for 5 s. An entry sends 250
        requests per second of 20 ms, i.e. keeps five of six slots busy.
        """
        rng = random.Random(1)
        fleet = Fleet(lambda: 0.0, lambda observed: None)
        for place in (1, 2, 3):
            fleet.put(Searcher(f"i-{place}", "shard", f"10.0.0.{place}", 80, "hall-a", 2))
        cost = expected_cost("hall-a", rng)
        searchers = list(fleet.of_service("shard"))
        faulty = searchers[0]
        in_progress, used_ms, refusals = [], [], 0
        for attempt in range(2_500):
            now_ms = 4.0 * attempt
            for start_ms, number, observed in [x for x in in_progress if x[0] + 20.0 <= now_ms]:
                in_progress.remove((start_ms, number, observed))
                observed.on_capacity(False, LIMIT, TYPICAL_MS, now_ms)
                observed.on_reply(number, 20.0, TYPICAL_MS, now_ms)
            chosen = best_searcher(searchers, cost, TYPICAL_MS, now_ms)
            chosen.on_sent(attempt, now_ms)
            if chosen is faulty and now_ms < 5_000.0 and rng.random() < 0.45:
                refusals += 1
                chosen.on_capacity(True, LIMIT, TYPICAL_MS, now_ms)
                chosen.on_refused(attempt, now_ms)
                continue
            if chosen is faulty:
                used_ms.append(now_ms)
            in_progress.append((now_ms, attempt, chosen))
        self.assertGreater(refusals, 3)
        first_ms = next(at_ms for at_ms in used_ms if at_ms >= 5_000.0)
        self.assertLessEqual(first_ms, 8_000.0)
        self.assertGreater(sum(at_ms >= 8_000.0 for at_ms in used_ms), 20)
        self.assertEqual(fleet.reduced_windows, 0)
        self.assertIsNone(faulty.send_window)
        self.assertTrue(all(one.send_window is None for one in searchers[1:]))
