"""Routing of callers' requests."""

import math
from collections.abc import Mapping

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallerRequest, least_useful_ms
from rhubarbhinge.gateway._gateway_dependencies import GatewayDependencies
from rhubarbhinge.gateway._readiness import can_serve
from rhubarbhinge.gateway._recent_requests import RecentRequests
from rhubarbhinge.gateway._request_handler import RequestHandler
from rhubarbhinge.gateway._responses import refused, unknown_route
from rhubarbhinge.gateway._weighted_round_robin import WeightedRoundRobin
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.quarantine import ONE_FIRST, Quarantined
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.web import Request, Responder, Response

INITIAL_DELAY_FRACTION = 0.2
"""Assumed reply time as a fraction of the latency objective, before enough were measured."""
NO_PLAN_RETRY_AFTER_MS = 300.0
"""A starting entry reads its configuration within some tenths of a second."""


class Gateway:
    """Routes requests by the newest plan; each request keeps the plan under which it was accepted.

    :param dependencies: dependencies shared by all requests.
    """

    def __init__(self, dependencies: GatewayDependencies):
        self._dependencies = dependencies
        self._follower = dependencies.follower
        self._round_robin = WeightedRoundRobin()
        self._delays: dict[str, Delays] = {}
        self._recent_requests = RecentRequests(dependencies.context.timers.now_ms)
        self._in_progress: set[RequestHandler] = set()
        self._latest_deadline_ms = math.inf

    def on_plan(self, plan: ServingPlan) -> None:
        """Adopt a new plan.

        :param plan: the plan.
        """
        names = {route.name for route in plan.routes}
        self._round_robin.retain(names)
        self._dependencies.lead_time.retain(names)
        self._dependencies.quarantine.on_routes(names)
        if self._dependencies.admission is not None:
            self._dependencies.admission.retain(plan.services)
        for name in self._delays.keys() - names:
            del self._delays[name]

    def limit_deadlines(self, latest_ms: float) -> None:
        """Answer all requests by a given time, those in progress and later ones.

        :param latest_ms: time by which this entry has to answer, as it shuts down.
        """
        self._latest_deadline_ms = latest_ms
        for handler in list(self._in_progress):
            handler.limit_deadline(latest_ms)

    def can_serve(self) -> bool:
        """Check whether most recent requests to this entry could be served here.

        :returns: whether the routes of at least half of the counted requests have enough reachable
            searchers.
        """
        fleet = self._dependencies.context.fleet
        return can_serve(self._follower.plan, fleet, self.recent_requests())

    def recent_requests(self) -> Mapping[str, int]:
        """Return the number of recent requests of callers by route."""
        return dict(self._recent_requests.counts())

    def handle(self, request: Request, responder: Responder) -> None:
        """Handle a request of a caller.

        :param request: the request.
        :param responder: sends the response.
        """
        caller_request = self._dependencies.dialect.decode_request(request)
        plan = self._follower.plan
        if plan is None:
            message = "This entry has no configuration yet."
            responder.answer(refused("no-plan", message, NO_PLAN_RETRY_AFTER_MS))
            return
        route = plan.find(request.headers.get("host", ""), request.target.partition("?")[0])
        if route is None:
            responder.answer(self._route_not_found(caller_request, plan))
            return
        self._recent_requests.add(route.name)
        handler = RequestHandler(
            self._dependencies,
            caller_request,
            plan,
            route,
            responder,
            request.transit_ms,
            self._in_progress.discard,
        )
        handler.limit_deadline(self._latest_deadline_ms)
        delays = self.delays_of(route.name, route.target_latency_ms)
        if self._ends_within(least_useful_ms(delays)):
            handler.refuse_for_shutdown()
            return
        if self._dependencies.is_buffer_full():
            handler.refuse_for_memory()
            return
        decision = self._dependencies.quarantine.decide(
            caller_request.fingerprint, route.name, fans_out=route.shards is not None
        )
        if isinstance(decision, Quarantined):
            handler.refuse(decision)
            return
        handler.watch(decision == ONE_FIRST)
        self._in_progress.add(handler)
        if route.shards is not None:
            handler.gather(delays)
        else:
            handler.forward(self._round_robin.next(route), delays)

    def _ends_within(self, duration_ms: float) -> bool:
        """Return whether the entry, which shuts down, has to answer within some time."""
        return self._latest_deadline_ms - self._dependencies.context.timers.now_ms() < duration_ms

    def _route_not_found(self, caller_request: CallerRequest, plan: ServingPlan) -> Response:
        current = self._follower.is_current()
        log_event(
            "no-route",
            request=caller_request.id,
            plan=plan.version,
            age_ms=round(self._follower.age_ms()),
            current=current,
        )
        if current:
            return unknown_route()
        message = "This entry's configuration may be out of date."
        return refused("stale-plan", message, NO_PLAN_RETRY_AFTER_MS)

    def delays_of(self, route_name: str, target_latency_ms: float) -> Delays:
        """Return the recent reply times on a route.

        :param route_name: the route.
        :param target_latency_ms: latency objective of the route, from which the first estimate is
            derived.
        :returns: the reply times.
        """
        delays = self._delays.get(route_name)
        if delays is None:
            delays = Delays(INITIAL_DELAY_FRACTION * target_latency_ms)
            self._delays[route_name] = delays
        return delays
