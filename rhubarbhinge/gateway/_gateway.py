"""From a caller's request to its answer."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import (
    CallerRequest,
    CallTerms,
    Dialect,
    Failed,
    Passed,
    Refused,
    Result,
    ServiceCall,
    Story,
    Surroundings,
)
from rhubarbhinge.gateway._answers import failed, refused, timed_out, unknown_route
from rhubarbhinge.gateway._call_terms import call_terms
from rhubarbhinge.gateway._recent_routes import RecentRoutes
from rhubarbhinge.gateway._split import Splitter
from rhubarbhinge.gather import FarSearch, Gathered, Gathering, GatherTerms, NotEnough
from rhubarbhinge.plans import Route, ServingPlan
from rhubarbhinge.published import Follower
from rhubarbhinge.telemetry import Metrics, log_event
from rhubarbhinge.timing import Subscription
from rhubarbhinge.web import Request, Responder, Response

ANSWER_SHARE = 0.92
"""Part of the latency objective after which a search is answered with what there is."""
ANSWER_MARGIN_MS = 3.0
"""Taken off besides: a round trip to the caller of 2 ms, and the writing of the answer."""
TYPICAL_SHARE = 0.2
"""Part of the latency objective that a shard is assumed to take before any was seen."""
CALLER_MARGIN_MS = 5.0
"""A caller's time is taken to be over this much sooner, so that it gets the answer."""
RETRY_AFTER_SHARE = 0.25
"""Callers come back after this part of the latency objective."""
LEAST_RETRY_AFTER_MS = 50.0
"""Shorter pauses bring the caller back into the same shortage."""
MOST_NAMED_SHARDS = 8
"""Most missing shards that a line of the log names."""
NO_PLAN_RETRY_AFTER_MS = 300.0
"""A starting entry has read its configuration within some tenths of a second."""


class Gateway:
    """Answers callers by the newest plan; each request keeps to the plan it was read under.

    :param surroundings: what requests share.
    :param dialect: translates messages.
    :param follower: knows the plan.
    :param metrics: counts.
    :param rng: spreads what is said to callers.
    :param far: how other entries are asked for the shards near them.
    :param moving_ms: gives the time until callers are sent to other entries, 0 when they aren't.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        dialect: Dialect,
        follower: Follower,
        metrics: Metrics,
        rng: random.Random,
        far: FarSearch,
        moving_ms: Callable[[], float],
    ):
        self._around = surroundings
        self._moving_ms = moving_ms
        self._far = far
        self._dialect = dialect
        self._follower = follower
        self._metrics = metrics
        self._rng = rng
        self._splitter = Splitter()
        self._delays: dict[str, Delays] = {}
        self._recent = RecentRoutes(surroundings.timers.now_ms)

    def on_plan(self, plan: ServingPlan) -> None:
        """Follow a new plan.

        :param plan: the plan.
        """
        names = {route.name for route in plan.routes}
        self._splitter.keep(names)
        for name in self._delays.keys() - names:
            del self._delays[name]

    def can_serve(self) -> bool:
        """Tell whether most of what callers ask for can be served.

        :returns: whether the routes that most of the recent requests took have searchers that
            can be reached.
        """
        plan = self._follower.plan
        if plan is None:
            return False
        by_name = {route.name: route for route in plan.routes}
        asked = [(by_name[name], n) for name, n in self._recent.counts() if name in by_name]
        served = sum(n for route, n in asked if self._is_served(route))
        return 2 * served >= sum(n for _, n in asked)

    def _is_served(self, route: Route) -> bool:
        fleet = self._around.fleet
        if route.shards is None:
            return any(fleet.is_reachable(part.name) for part in route.services)
        reachable = sum(fleet.is_reachable(name) for name in route.shards.services)
        return route.shards.is_enough(reachable)

    def handle(self, request: Request, responder: Responder) -> None:
        """Take a caller's request.

        :param request: the request.
        :param responder: answers it.
        """
        asked = self._dialect.caller_request(request)
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
        handling = _Handling(self, asked, plan, route, responder)
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


class _Handling:
    """One request under way.

    :param gateway: what requests share.
    :param asked: the request.
    :param plan: the plan it was read under.
    :param route: its route.
    :param responder: answers it.
    """

    def __init__(
        self,
        gateway: Gateway,
        asked: CallerRequest,
        plan: ServingPlan,
        route: Route,
        responder: Responder,
    ):
        self._gateway = gateway
        self._around = gateway._around
        self._asked = asked
        self._plan = plan
        self._route = route
        self._responder = responder
        self._started_ms = self._around.timers.now_ms()
        wait_ms = route.timeout_ms
        if asked.wait_ms is not None:
            wait_ms = min(wait_ms, asked.wait_ms - CALLER_MARGIN_MS)
        self._deadline_ms = self._started_ms + max(1.0, wait_ms)
        self._missing: tuple[str, ...] = ()
        self._story = Story(asked.id, self._around.timers.now_ms)
        self._timer: Subscription | None = None
        self._cancel: Callable[[], None] | None = None

    def forward(self, service: str, delays: Delays) -> None:
        """Have one searcher of a service answer.

        :param service: the service.
        :param delays: the usual delays of such requests.
        """
        around = self._around
        around.budget.on_request((service,))
        terms = self._terms(delays, self._deadline_ms)
        call = ServiceCall(around, self._asked, service, terms, delays, self._called, self._story)
        self._begin(call.cancel, lambda: self._expired(call))
        call.start()

    def gather(self, delays: Delays) -> None:
        """Have all shards answer.

        :param delays: the usual delays of such requests at one shard.
        """
        route = self._route
        answer_by_ms = self._started_ms + ANSWER_SHARE * route.target_latency_ms - ANSWER_MARGIN_MS
        terms = GatherTerms(
            route.name,
            route.shards,
            route.target_latency_ms,
            answer_by_ms,
            self._terms(delays, answer_by_ms),
        )
        gathering = Gathering(
            self._around,
            self._asked,
            terms,
            delays,
            self._gateway._far,
            self._gathered,
            self._story,
        )
        self._begin(gathering.cancel, gathering.time_out)
        gathering.start()

    def _terms(self, delays: Delays, useful_until_ms: float) -> CallTerms:
        route = self._route
        return call_terms(
            route.target_latency_ms,
            route.idempotent,
            route.max_attempts,
            route.priority,
            self._started_ms,
            self._deadline_ms,
            delays,
            useful_until_ms,
        )

    def _begin(self, cancel: Callable[[], None], on_timeout: Callable[[], None]) -> None:
        self._cancel = cancel
        self._responder.on_abandoned(self._abandoned)
        wait_ms = self._deadline_ms - self._started_ms
        self._timer = self._around.timers.after(wait_ms, on_timeout)

    def _abandoned(self) -> None:
        self._timer.cancel()
        self._cancel()
        self._log("caller-gone", CALLER_GONE)

    def _expired(self, call: ServiceCall) -> None:
        may_have_run = call.may_have_run
        call.cancel()
        if may_have_run:
            self._answer(timed_out(), "timeout")
        else:
            self._answer(self._refusal("timeout", "No searcher had room in time."), "timeout")

    def _called(self, call: ServiceCall, result: Result) -> None:
        if isinstance(result, Passed):
            self._pass_on(result)
        elif isinstance(result, Refused):
            why = result.why.value if result.why else "no-searcher"
            self._answer(self._refusal(why, "No searcher took the request."), why)
        elif isinstance(result, Failed):
            why = result.why.value if result.why else "failed"
            self._answer(failed(why, "The searcher's reply did not come."), why)

    def _pass_on(self, result: Passed) -> None:
        reply = result.reply
        if reply.status in NOT_RUN_STATUSES:
            # To callers these say "not run", which this searcher did not say.
            self._answer(failed("searcher-failed", "The searcher failed."), "searcher-failed")
        else:
            self._answer(self._gateway._dialect.passed_on(reply), "passed")

    def _gathered(self, result: Gathered | NotEnough) -> None:
        missing = len(result.missing)
        self._missing = result.missing
        if isinstance(result, Gathered):
            answer = self._gateway._dialect.merged(result.signatures, missing, result.body)
            self._answer(answer, "gathered", missing)
        elif result.timed_out:
            self._answer(timed_out(), "timeout", missing)
        elif result.may_have_run:
            answer = failed("too-few-shards", "Too few shards answered.")
            self._answer(answer, "too-few-shards", missing)
        else:
            answer = self._refusal("too-few-shards", "Too few shards can answer.")
            self._answer(answer, "no-shards", missing)

    def _refusal(self, code: str, message: str) -> Response:
        pause_ms = max(
            LEAST_RETRY_AFTER_MS,
            RETRY_AFTER_SHARE * self._route.target_latency_ms,
            self._gateway._moving_ms(),
        )
        return refused(code, message, pause_ms * self._gateway._rng.uniform(0.8, 1.2))

    def _answer(self, answer: Response, why: str, missing: int = 0) -> None:
        self._timer.cancel()
        self._responder.answer(answer)
        took_ms = self._around.timers.now_ms() - self._started_ms
        self._gateway._metrics.observe_latency(self._route.host, self._route.name, took_ms)
        if why not in ("passed", "gathered") or missing or took_ms > self._route.target_latency_ms:
            self._log(why, answer.status, missing)

    def _log(self, why: str, status: int, missing: int = 0) -> None:
        if status not in (SUCCESS, CALLER_GONE):
            self._story.tell()
        elif missing:
            self._story.tell(frozenset(self._missing))
        log_event(
            "request-ended",
            request=self._asked.id,
            route=self._route.name,
            priority=self._route.priority,
            plan=self._plan.version,
            plan_age_ms=round(self._gateway._follower.age_ms()),
            why=why,
            status=status,
            missing=missing,
            without=",".join(self._missing[:MOST_NAMED_SHARDS]),
            wait_ms=self._asked.wait_ms,
            took_ms=round(self._around.timers.now_ms() - self._started_ms, 1),
        )


CALLER_GONE = 0
"""In logs: the status of a request whose caller left before its answer."""
SUCCESS = 200
"""Status of an answer whose steps are not written, unless shards are missing."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that callers take to mean that the request was not executed."""
