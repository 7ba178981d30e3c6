"""Concurrency limiter: share of each class, adjustment of the limit, retry times."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.admission import WINDOW_MS, Admitted, Limiter, Refused

HEAVY, LIGHT = 8.0, 1.0
MIN_RETRY_MS, MAX_RETRY_MS = 50 * 0.75, 5_000 * 1.25
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=200)
STEPS = st.tuples(st.sampled_from(("light", "heavy", "good", "bad", "rules")), st.integers(1, 90))


def make_limiter(max_in_flight=64, **options):
    return Limiter(max_in_flight, HEAVY, random.Random(1), **options)


def fill(limiter, weight, now_ms=0.0):
    """Admit queries until one is refused, within a bounded number of calls."""
    for count in range(1_000):
        if isinstance(limiter.admit(weight, now_ms), Refused):
            return count
    raise AssertionError("never refused")


def run_windows(limiter, number, met, start_ms=1_000.0):
    """Fill the limit and complete all queries, in consecutive windows."""
    for window in range(number):
        now_ms = start_ms + window * WINDOW_MS
        count = fill(limiter, HEAVY, now_ms)
        for _ in range(count):
            limiter.ended(10.0, 200.0, met, now_ms + WINDOW_MS / 2)


class LimiterTest(unittest.TestCase):
    def test_lightest_class_leaves_room_for_the_heaviest(self):
        limiter = make_limiter()
        light = fill(limiter, LIGHT)
        self.assertLessEqual(light, 64 * 0.6)
        self.assertIsInstance(limiter.admit(LIGHT, 1.0), Refused)
        self.assertEqual(64 - light, fill(limiter, HEAVY, 1.0))

    def test_limit_falls_with_late_queries_and_recovers(self):
        limiter = make_limiter()
        run_windows(limiter, 10, met=False)
        low = limiter.limit
        self.assertLess(low, 32)
        run_windows(limiter, 60, met=True, start_ms=9_000.0)
        self.assertEqual(64.0, limiter.limit)

    def test_slow_queries_count_as_late(self):
        limiter = make_limiter()
        fill(limiter, HEAVY)
        limiter.ended(199.0, 200.0, True, WINDOW_MS)
        limiter.admit(HEAVY, 2 * WINDOW_MS + 1)
        self.assertLess(limiter.limit, 64.0)

    def test_unused_limit_is_not_raised(self):
        limiter = make_limiter()
        run_windows(limiter, 10, met=False)
        low = limiter.limit
        for now_ms in range(9_000, 20_000, 50):
            limiter.admit(HEAVY, float(now_ms))
            limiter.ended(1.0, 200.0, True, float(now_ms))
        self.assertLessEqual(limiter.limit, low)

    def test_limiter_without_enforcement_counts_queries(self):
        limiter = make_limiter(1, enforcing=False)
        for _ in range(100):
            self.assertIsInstance(limiter.admit(LIGHT, 1.0), Admitted)
        self.assertEqual(100, limiter.in_flight)

    def test_refusals_carry_a_bounded_jittered_retry_time(self):
        limiter = make_limiter(2)
        fill(limiter, HEAVY)
        waits_ms = {limiter.admit(HEAVY, 1.0).retry_after_ms for _ in range(500)}
        self.assertGreater(len(waits_ms), 100)
        self.assertTrue(all(MIN_RETRY_MS <= wait <= MAX_RETRY_MS for wait in waits_ms))

    @SETTINGS
    @given(st.integers(1, 64), st.lists(STEPS, max_size=120))
    def test_configured_maximum_always_holds(self, max_in_flight, steps):
        limiter, now_ms, open_queries = make_limiter(max_in_flight), 0.0, 0
        for name, number in steps:
            now_ms += number
            if name in ("light", "heavy"):
                decision = limiter.admit(HEAVY if name == "heavy" else LIGHT, now_ms)
                open_queries += isinstance(decision, Admitted)
                self.assertFalse(isinstance(decision, Admitted) and open_queries > max_in_flight)
            elif name == "rules":
                max_in_flight = max(open_queries, number, 1)
                limiter.configure(max_in_flight, HEAVY)
            elif open_queries:
                open_queries -= 1
                limiter.ended(float(number), 100.0, name == "good", now_ms)
            self.assertEqual(open_queries, limiter.in_flight)
            self.assertLessEqual(1.0, limiter.limit)
            self.assertLessEqual(limiter.limit, max_in_flight)


if __name__ == "__main__":
    unittest.main()
