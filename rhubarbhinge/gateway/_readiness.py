"""Readiness of an entry: whether it can serve what callers of its failure domain request."""

from collections import Counter
from collections.abc import Callable, Mapping

from msgspec import Struct

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.members import MAX_REPORTED_ROUTES, Heartbeat
from rhubarbhinge.plans import Route, ServingPlan

MAX_REPORT_AGE_MS = 10_000.0
"""Age up to which the requests that another entry reported are counted. An entry of a domain of 40
hears from two entries every second and from one other, drawn at random, so from some ten in this
time."""

MIN_SERVED_SHARE = 0.5
"""Share of the requests that an entry has to be able to serve to be ready."""
MIN_SERVED_SHARE_IN_MINORITY = 0.9
"""The same on the smaller side of a partition. Entries of the larger side can serve the callers of
this one too, so that all are better served there than some of them here."""


class _Report(Struct, frozen=True):
    """The recent requests of another entry.

    :param requests: number of requests by route.
    :param received_ms: when the report was received.
    """

    requests: Mapping[str, int]
    received_ms: float


class DomainReadiness:
    """Judges readiness by the requests of this entry and of others in its failure domain.

    Callers leave the entries of a partitioned domain only once none of them is ready, also those
    that have had no request lately. Callers that have left send no requests either; the requests by
    which an entry was found not ready are therefore kept until they can be served again.

    :param now_ms: returns the current time.
    :param plan: returns the current plan, or None.
    :param fleet: the searchers.
    :param own_requests: returns the number of recent requests to this entry by route.
    :param has_several_domains: returns whether the deployment has more than one failure domain;
        only then do requests of others count, and none are kept.
    :param is_in_minority: returns whether this entry is on the smaller side of a partition.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        plan: Callable[[], ServingPlan | None],
        fleet: Fleet,
        own_requests: Callable[[], Mapping[str, int]],
        has_several_domains: Callable[[], bool],
        is_in_minority: Callable[[], bool] = lambda: False,
    ):
        self._now_ms = now_ms
        self._plan = plan
        self._fleet = fleet
        self._own_requests = own_requests
        self._has_several_domains = has_several_domains
        self._is_in_minority = is_in_minority
        self._reports: dict[str, _Report] = {}
        self._not_served: Mapping[str, int] = {}
        self._own_not_served: Mapping[str, int] = {}

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the requests that another entry of the failure domain reports.

        :param heartbeat: its heartbeat.
        """
        if heartbeat.recent_requests:
            report = _Report(heartbeat.recent_requests, self._now_ms())
            self._reports[heartbeat.name] = report
        else:
            self._reports.pop(heartbeat.name, None)

    def requests_to_report(self) -> Mapping[str, int]:
        """Return the recent requests to this entry, for the others of its failure domain.

        While it is not ready, those by which it became so are among them, as an entry that starts
        meanwhile would otherwise count as ready and get all callers of the domain.

        :returns: number of requests by route, the most frequent first, at most
            ``MAX_REPORTED_ROUTES``.
        """
        requests = Counter(self._own_requests()) | Counter(self._own_not_served)
        return dict(requests.most_common(MAX_REPORTED_ROUTES))

    def is_ready(self) -> bool:
        """Check whether this entry can serve most recent requests of its failure domain.

        :returns: whether the load balancer may send callers to this entry.
        """
        plan = self._plan()
        own = self._own_requests()
        if plan is None or not self._has_several_domains():
            return can_serve(plan, self._fleet, own)
        requests = self._with_reported(own)
        share = MIN_SERVED_SHARE_IN_MINORITY if self._is_in_minority() else MIN_SERVED_SHARE
        if not can_serve(plan, self._fleet, requests, share):
            self._not_served = requests
            self._own_not_served = own or self._own_not_served
            return False
        if not can_serve(plan, self._fleet, self._not_served, share):
            return False
        self._not_served = self._own_not_served = {}
        return True

    def _with_reported(self, own: Mapping[str, int]) -> Mapping[str, int]:
        since_ms = self._now_ms() - MAX_REPORT_AGE_MS
        for name in [name for name, one in self._reports.items() if one.received_ms < since_ms]:
            del self._reports[name]
        total = Counter(own)
        for report in self._reports.values():
            total.update(report.requests)
        return total


def can_serve(
    plan: ServingPlan | None,
    fleet: Fleet,
    requests: Mapping[str, int],
    min_share: float = MIN_SERVED_SHARE,
) -> bool:
    """Check whether most of some requests could be served here, if they could be anywhere.

    Requests for which too few searchers are published are not counted, as no other entry could
    serve them either.

    :param plan: the current plan; None if there is none yet.
    :param fleet: the searchers.
    :param requests: number of requests by route.
    :param min_share: share of the counted requests that has to be servable.
    :returns: whether the routes of so many requests have enough reachable searchers; False without
        a plan.
    """
    if plan is None:
        return False
    by_name = {route.name: route for route in plan.routes}
    servable = served = 0
    for name, count in requests.items():
        route = by_name.get(name)
        if route is not None and _has_enough(route, fleet.is_published):
            servable += count
            if _has_enough(route, fleet.is_reachable):
                served += count
    return served >= min_share * servable


def _has_enough(route: Route, has_searcher: Callable[[str], bool]) -> bool:
    """Check whether enough services of a route have a searcher according to a predicate."""
    if route.shards is None:
        return any(has_searcher(part.name) for part in route.services)
    return route.shards.is_enough(sum(has_searcher(name) for name in route.shards.services))
