"""Tests for the weighted distribution of requests."""

import unittest
from collections import Counter

from rhubarbhinge.gateway import WeightedRoundRobin
from rhubarbhinge.plans import Route, WeightedService


def route(**weights: float) -> Route:
    parts = tuple(WeightedService(name, weight) for name, weight in weights.items())
    return Route("r", "a", "/", True, 1_000.0, 100.0, 1, 2, parts)


class WeightedRoundRobinTest(unittest.TestCase):
    def test_every_interval_matches_the_weights(self):
        round_robin, shared = WeightedRoundRobin(), route(a=0.7, b=0.2, c=0.1)
        chosen = [round_robin.next(shared) for _ in range(1_000)]
        for start in range(0, 1_000, 50):
            counts = Counter(chosen[start : start + 50])
            for name, weight in (("a", 0.7), ("b", 0.2), ("c", 0.1)):
                self.assertAlmostEqual(counts[name], 50 * weight, delta=1.01)

    def test_changed_services_reset_the_weights(self):
        round_robin = WeightedRoundRobin()
        for _ in range(7):
            round_robin.next(route(a=0.9, b=0.1))
        counts = Counter(round_robin.next(route(a=0.5, d=0.5)) for _ in range(10))
        self.assertEqual(counts, {"a": 5, "d": 5})

    def test_service_with_zero_weight_gets_no_requests(self):
        round_robin = WeightedRoundRobin()
        self.assertEqual({round_robin.next(route(a=1.0, b=0.0)) for _ in range(20)}, {"a"})
