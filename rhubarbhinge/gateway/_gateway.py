"""From a caller's request to its answer."""

from collections.abc import Callable

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallerRequest
from rhubarbhinge.gateway._answers import refused, unknown_route
from rhubarbhinge.gateway._gateway_parts import GatewayParts
from rhubarbhinge.gateway._handling import Handling
from rhubarbhinge.gateway._recent_routes import RecentRoutes
from rhubarbhinge.gateway._split import Splitter
from rhubarbhinge.plans import Route, ServingPlan
from rhubarbhinge.quarantine import ONE_FIRST, Quarantined
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.web import Request, Responder, Response

TYPICAL_SHARE = 0.2
"""Part of the latency objective that a shard is assumed to take before any was seen."""
NO_PLAN_RETRY_AFTER_MS = 300.0
"""A starting entry has read its configuration within some tenths of a second."""


class Gateway:
    """Answers callers by the newest plan; each request keeps to the plan it was read under.

    :param parts: what requests share.
    """

    def __init__(self, parts: GatewayParts):
        self._parts = parts
        self._follower = parts.follower
        self._splitter = Splitter()
        self._delays: dict[str, Delays] = {}
        self._recent = RecentRoutes(parts.context.timers.now_ms)

    def on_plan(self, plan: ServingPlan) -> None:
        """Follow a new plan.

        :param plan: the plan.
        """
        names = {route.name for route in plan.routes}
        self._splitter.keep(names)
        self._parts.lead.keep(names)
        self._parts.quarantine.on_routes(names)
        for name in self._delays.keys() - names:
            del self._delays[name]

    def can_serve(self) -> bool:
        """Tell whether most of what callers ask for can be served here, if it can be anywhere.

        Requests for which too few searchers are published don't count: callers who are sent to
        other entries are not served there either.

        :returns: whether the routes that most of the recent requests took have searchers that
            can be reached.
        """
        plan = self._follower.plan
        if plan is None:
            return False
        fleet = self._parts.context.fleet
        by_name = {route.name: route for route in plan.routes}
        servable = served = 0
        for name, requests in self._recent.counts():
            route = by_name.get(name)
            if route is not None and _has_enough(route, fleet.is_published):
                servable += requests
                if _has_enough(route, fleet.is_reachable):
                    served += requests
        return 2 * served >= servable

    def handle(self, request: Request, responder: Responder) -> None:
        """Take a caller's request.

        :param request: the request.
        :param responder: answers it.
        """
        asked = self._parts.dialect.decode_request(request)
        plan = self._follower.plan
        if plan is None:
            message = "This entry has no configuration yet."
            responder.answer(refused("no-plan", message, NO_PLAN_RETRY_AFTER_MS))
            return
        route = plan.find(request.headers.get("host", ""), request.target.partition("?")[0])
        if route is None:
            responder.answer(self._no_route(asked, plan))
            return
        self._recent.add(route.name)
        handling = Handling(self._parts, asked, plan, route, responder, request.transit_ms)
        decision = self._parts.quarantine.decide(
            asked.fingerprint, route.name, fans_out=route.shards is not None
        )
        if isinstance(decision, Quarantined):
            handling.refuse(decision)
            return
        handling.watch(decision == ONE_FIRST)
        if route.shards is not None:
            handling.gather(self.delays_of(route.name, route.target_latency_ms))
        else:
            handling.forward(
                self._splitter.next(route), self.delays_of(route.name, route.target_latency_ms)
            )

    def _no_route(self, asked: CallerRequest, plan: ServingPlan) -> Response:
        current = self._follower.is_current()
        log_event(
            "no-route",
            request=asked.id,
            plan=plan.version,
            age_ms=round(self._follower.age_ms()),
            current=current,
        )
        if current:
            return unknown_route()
        message = "This entry's configuration may be out of date."
        return refused("stale-plan", message, NO_PLAN_RETRY_AFTER_MS)

    def delays_of(self, route_name: str, target_latency_ms: float) -> Delays:
        """Give the usual delays on a route.

        :param route_name: the route.
        :param target_latency_ms: its latency objective, from which they are guessed at first.
        :returns: the delays.
        """
        delays = self._delays.get(route_name)
        if delays is None:
            delays = Delays(TYPICAL_SHARE * target_latency_ms)
            self._delays[route_name] = delays
        return delays


def _has_enough(route: Route, has_searcher: Callable[[str], bool]) -> bool:
    """Tell whether enough services of a route have a searcher, of the kind that is asked for."""
    if route.shards is None:
        return any(has_searcher(part.name) for part in route.services)
    return route.shards.is_enough(sum(has_searcher(name) for name in route.shards.services))
