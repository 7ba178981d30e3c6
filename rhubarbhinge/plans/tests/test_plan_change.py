"""Computing and applying differences between versions of the configuration."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.plans import (
    CallerLimits,
    PlanChange,
    Route,
    Service,
    ServingPlan,
    ShardSet,
    UnchangedRoutes,
)

NAMES = st.lists(st.sampled_from("abcdefgh"), unique=True)


def route(name: str, timeout_ms: float = 1_000.0) -> Route:
    shards = ShardSet(("s", "t"), 5, 0.75)
    return Route(name, "a.example", f"/{name}/", True, timeout_ms, 95.0, 2, 2, (), shards)


@st.composite
def plans(draw, version: int) -> ServingPlan:
    timeouts = st.sampled_from((1_000.0, 2_000.0))
    routes = tuple(route(name, draw(timeouts)) for name in draw(NAMES))
    connections = st.integers(1, 2)
    services = {name: Service(name, "/health", draw(connections)) for name in draw(NAMES)}
    return ServingPlan(version, routes, services, CallerLimits(idle_timeout_ms=draw(timeouts)))


class PlanChangeTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(plans(3), plans(7))
    def test_change_round_trip(self, base, plan):
        found = PlanChange.between(base, plan).apply(base)
        self.assertEqual(found, plan)
        self.assertEqual(found.find("a.example", "/b/x"), plan.find("a.example", "/b/x"))

    def test_unchanged_routes_are_sent_as_ranges(self):
        routes = tuple(route(name) for name in "abcdef")
        base = ServingPlan(3, routes, {}, CallerLimits())
        changed = route("c", 2_000.0)
        plan = ServingPlan(4, (*routes[:2], changed, *routes[4:]), {}, CallerLimits())
        found = PlanChange.between(base, plan).routes
        self.assertEqual(found, (UnchangedRoutes(0, 2), changed, UnchangedRoutes(4, 2)))

    def test_change_of_another_version_is_rejected(self):
        base = ServingPlan(3, (), {}, CallerLimits())
        change = PlanChange.between(base, ServingPlan(7, (), {}, CallerLimits()))
        with self.assertRaises(ValueError):
            change.apply(ServingPlan(4, (), {}, CallerLimits()))
