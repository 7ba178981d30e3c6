"""Route lookup and the required share of shards."""

import unittest

from rhubarbhinge.plans import CallerLimits, Route, ServingPlan, ShardSet, WeightedService


def route(name: str, host: str, prefix: str) -> Route:
    return Route(name, host, prefix, True, 1_000.0, 100.0, 1, 2, (WeightedService("s", 1.0),))


class FindTest(unittest.TestCase):
    def setUp(self):
        routes = (
            route("root", "a.example", "/"),
            route("long", "a.example", "/x/y/"),
            route("short", "a.example", "/x/"),
            route("other", "b.example", "/x/"),
        )
        self.plan = ServingPlan(1, routes, {}, CallerLimits())

    def found(self, host: str, path: str) -> str | None:
        found = self.plan.find(host, path)
        return found.name if found else None

    def test_longest_matching_prefix_wins(self):
        self.assertEqual(self.found("a.example", "/x/y/z"), "long")
        self.assertEqual(self.found("a.example", "/x/z/y/"), "short")
        self.assertEqual(self.found("b.example", "/x/y/z"), "other")

    def test_prefix_matches_whole_segments(self):
        self.assertEqual(self.found("a.example", "/x/yy"), "short")
        self.assertEqual(self.found("a.example", "/x/y"), "short")
        self.assertEqual(self.found("a.example", "/xx"), "root")

    def test_host_case_and_port_are_ignored(self):
        self.assertEqual(self.found("A.Example:8080", "/x/"), "short")

    def test_no_matching_route(self):
        self.assertIsNone(self.found("c.example", "/x/"))
        self.assertIsNone(self.found("b.example", "/y"))
        self.assertIsNone(self.found("b.example", "nonsense"))


class ShardSetTest(unittest.TestCase):
    def test_required_share_is_inclusive(self):
        shards = ShardSet(tuple(f"s{n}" for n in range(20)), 5, 0.75)
        self.assertFalse(shards.is_enough(14))
        self.assertTrue(shards.is_enough(15))

    def test_zero_parts_are_never_enough(self):
        self.assertFalse(ShardSet(("s0",), 5, 0.0).is_enough(0))
