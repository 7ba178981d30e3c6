"""The limiter: shares by class, a limit that follows, refusals at once."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.admission import WINDOW_MS, Admitted, Limiter, Refused

HEAVY, LIGHT = 8.0, 1.0
LEAST_RETRY_MS, MOST_RETRY_MS = 50 * 0.75, 5_000 * 1.25
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=200)
ACTS = st.tuples(st.sampled_from(("light", "heavy", "good", "bad", "rules")), st.integers(1, 90))


def limiter(most=64, **options):
    return Limiter(most, HEAVY, random.Random(1), **options)


def fill(made, weight, now_ms=0.0):
    """Admit until refused; the refusal is asked for a bounded number of times."""
    for count in range(1_000):
        if isinstance(made.admit(weight, now_ms), Refused):
            return count
    raise AssertionError("never refused")


def windows(made, number, met, start_ms=1_000.0):
    """Fill and end all queries, one window after the other."""
    for window in range(number):
        now_ms = start_ms + window * WINDOW_MS
        count = fill(made, HEAVY, now_ms)
        for _ in range(count):
            made.ended(10.0, 200.0, met, now_ms + WINDOW_MS / 2)


class LimiterTest(unittest.TestCase):
    def test_the_heaviest_class_keeps_its_share(self):
        made = limiter()
        light = fill(made, LIGHT)
        self.assertLessEqual(light, 64 * 0.6)
        self.assertIsInstance(made.admit(LIGHT, 1.0), Refused)
        self.assertEqual(64 - light, fill(made, HEAVY, 1.0))

    def test_the_limit_falls_when_queries_are_late_and_comes_back(self):
        made = limiter()
        windows(made, 10, met=False)
        low = made.limit
        self.assertLess(low, 32)
        windows(made, 60, met=True, start_ms=9_000.0)
        self.assertEqual(64.0, made.limit)

    def test_slow_answers_count_as_late(self):
        made = limiter()
        fill(made, HEAVY)
        made.ended(199.0, 200.0, True, WINDOW_MS)
        made.admit(HEAVY, 2 * WINDOW_MS + 1)
        self.assertLess(made.limit, 64.0)

    def test_an_unused_limit_is_not_raised(self):
        made = limiter()
        windows(made, 10, met=False)
        low = made.limit
        for now_ms in range(9_000, 20_000, 50):
            made.admit(HEAVY, float(now_ms))
            made.ended(1.0, 200.0, True, float(now_ms))
        self.assertLessEqual(made.limit, low)

    def test_a_limiter_that_refuses_nothing_still_counts(self):
        made = limiter(1, refusing=False)
        for _ in range(100):
            self.assertIsInstance(made.admit(LIGHT, 1.0), Admitted)
        self.assertEqual(100, made.in_flight)

    def test_refusals_come_at_once_and_tell_a_bounded_spread_time(self):
        made = limiter(2)
        fill(made, HEAVY)
        waits_ms = {made.admit(HEAVY, 1.0).retry_after_ms for _ in range(500)}
        self.assertGreater(len(waits_ms), 100)
        self.assertTrue(all(LEAST_RETRY_MS <= wait <= MOST_RETRY_MS for wait in waits_ms))

    @SETTINGS
    @given(st.integers(1, 64), st.lists(ACTS, max_size=120))
    def test_the_rules_bound_holds_whatever_happens(self, most, acts):
        made, now_ms, open_queries = limiter(most), 0.0, 0
        for name, number in acts:
            now_ms += number
            if name in ("light", "heavy"):
                verdict = made.admit(HEAVY if name == "heavy" else LIGHT, now_ms)
                open_queries += isinstance(verdict, Admitted)
                self.assertFalse(isinstance(verdict, Admitted) and open_queries > most)
            elif name == "rules":
                most = max(open_queries, number, 1)
                made.configure(most, HEAVY)
            elif open_queries:
                open_queries -= 1
                made.ended(float(number), 100.0, name == "good", now_ms)
            self.assertEqual(open_queries, made.in_flight)
            self.assertLessEqual(1.0, made.limit)
            self.assertLessEqual(made.limit, most)


if __name__ == "__main__":
    unittest.main()
