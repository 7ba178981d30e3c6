"""Tests for readiness by the requests of a whole failure domain.

Guards against entries that become ready by the lack of requests alone, and then get all callers of
a domain that they can't serve.
"""

import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.gateway._partition import minority_side
from rhubarbhinge.gateway._readiness import MAX_REPORT_AGE_MS, DomainReadiness
from rhubarbhinge.members import MAX_REPORTED_ROUTES, Heartbeat
from rhubarbhinge.plans import CallerLimits, Route, ServingPlan, WeightedService
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision


def route(name: str) -> Route:
    services = (WeightedService(name, 1.0),)
    return Route(name, "a", f"/{name}/", True, 500.0, 100.0, 1, 2, services)


def heartbeat(name: str, **requests: int) -> Heartbeat:
    return Heartbeat(
        name, "hall-a", 1, 0, False, False, make_revision(1), 0.0, 0, recent_requests=requests
    )


class DomainReadinessTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.fleet = Fleet(self.timers.now_ms, lambda observed: None)
        for name in ("far", "near"):
            self.fleet.put(Searcher(f"i-{name}", name, "10.0.0.1", 80, f"hall-{name}", 2))
        self.far, self.near = self.fleet.all()
        self.own: dict[str, int] = {}
        self.in_minority = False
        self.plan = ServingPlan(1, (route("far"), route("near")), {}, CallerLimits())
        self.readiness = DomainReadiness(
            self.timers.now_ms,
            lambda: self.plan,
            self.fleet,
            lambda: self.own,
            lambda: True,
            lambda: self.in_minority,
        )

    def test_requests_of_others_count_while_their_latest_report_is_recent(self):
        self.far.on_unreachable()
        self.assertTrue(self.readiness.is_ready())
        self.readiness.on_heartbeat(heartbeat("a-1", far=9))
        self.readiness.on_heartbeat(heartbeat("a-1", far=1, near=2))
        self.assertTrue(self.readiness.is_ready())
        self.readiness.on_heartbeat(heartbeat("a-2", far=2))
        self.timers.advance(MAX_REPORT_AGE_MS + 1.0)
        self.assertTrue(self.readiness.is_ready())
        self.readiness.on_heartbeat(heartbeat("a-2", far=2))
        self.assertFalse(self.readiness.is_ready())

    def test_callers_leave_the_smaller_side_of_a_partition_although_most_requests_are_served(self):
        """Frequent requests that any entry can serve must not keep the callers of searches in a
        partitioned domain, as both kinds are served on the other side."""
        self.far.on_unreachable()
        self.own = {"near": 7, "far": 3}
        self.assertTrue(self.readiness.is_ready())
        self.in_minority = True
        self.assertFalse(self.readiness.is_ready())
        self.in_minority = False
        self.assertTrue(self.readiness.is_ready())

    def test_only_the_side_with_fewer_domains_is_the_minority(self):
        """Callers must not be sent to the smaller side by entries of the larger one."""
        for domain in ("a", "b", "c"):
            self.fleet.put(Searcher(f"i-{domain}", "s", "10.0.0.2", 80, domain, 2))
        self.fleet.remove("i-far")
        self.fleet.remove("i-near")
        for unreachable, expected in (((), False), (("a",), False), (("a", "b"), False)):
            side = minority_side("d", self.fleet, lambda found=unreachable: found)
            self.assertEqual(side(), expected, unreachable)
        self.assertTrue(minority_side("d", self.fleet, lambda: ("a", "b", "c"))())
        self.assertTrue(minority_side("a", self.fleet, lambda: ("b", "c"))())
        self.assertFalse(minority_side("a", self.fleet, lambda: ("b",))())

    def test_entry_is_ready_again_only_when_its_searchers_are_back(self):
        self.far.on_unreachable()
        self.own = {"far": 3}
        self.assertFalse(self.readiness.is_ready())
        for requests in ({}, {"near": 5}, {}):
            self.own = requests
            self.timers.advance(MAX_REPORT_AGE_MS)
            self.assertFalse(self.readiness.is_ready())
        self.assertEqual(self.readiness.requests_to_report(), {"far": 3})
        self.far.on_connected(self.timers.now_ms())
        self.assertTrue(self.readiness.is_ready())
        self.assertEqual(self.readiness.requests_to_report(), {})

    def test_routes_that_are_removed_do_not_keep_an_entry_from_being_ready(self):
        self.far.on_unreachable()
        self.own = {"far": 3}
        self.assertFalse(self.readiness.is_ready())
        self.own = {}
        self.plan = ServingPlan(2, (route("near"),), {}, CallerLimits())
        self.assertTrue(self.readiness.is_ready())

    def test_most_frequent_routes_are_reported(self):
        self.own = {f"route-{number}": number for number in range(1, MAX_REPORTED_ROUTES + 4)}
        reported = self.readiness.requests_to_report()
        self.assertEqual(
            list(reported), [f"route-{11 - place}" for place in range(MAX_REPORTED_ROUTES)]
        )
