"""One request under way."""

from collections.abc import Callable

from msgspec.structs import replace

from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import (
    CallerRequest,
    CallTerms,
    Failed,
    Refused,
    ReplyReceived,
    RequestTrace,
    Result,
    ServiceCall,
)
from rhubarbhinge.gateway._answers import failed, refused, timed_out
from rhubarbhinge.gateway._call_terms import call_terms
from rhubarbhinge.gateway._gateway_parts import GatewayParts
from rhubarbhinge.gather import Gathered, Gathering, GatherTerms, NotEnough
from rhubarbhinge.plans import Route, ServingPlan
from rhubarbhinge.quarantine import Quarantined, RequestWatch
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import Subscription
from rhubarbhinge.web import Responder, Response

ANSWER_SHARE = 0.96
"""Part of the latency objective after which a search is answered with what there is, less the round
trips and what answers take here; the rest is for what the round trip varies."""
WRITE_MARGIN_MS = 2.0
"""A deadline is over so much sooner here: writing an answer takes a millisecond or two."""
RETRY_AFTER_SHARE = 0.25
"""Callers come back after this part of the latency objective."""
LEAST_RETRY_AFTER_MS = 50.0
"""Shorter pauses bring the caller back into the same shortage."""
MOST_NAMED_SHARDS = 8
"""Most missing shards that a line of the log names."""
SAMPLED_ONE_IN = 64
"""One in so many requests that went well is logged with its steps, to compare the others with; at
20 a second that is a few KB each three seconds, a small part of the log's budget."""
CALLER_GONE = 0
"""In logs: the status of a request whose caller left before its answer."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that callers take to mean that the request was not executed."""


class Handling:
    """One request under way.

    :param parts: what requests share.
    :param asked: the request.
    :param plan: the plan it was read under.
    :param route: its route.
    :param responder: answers it.
    :param transit_ms: time that the caller sees besides what passes here.
    """

    def __init__(
        self,
        parts: GatewayParts,
        asked: CallerRequest,
        plan: ServingPlan,
        route: Route,
        responder: Responder,
        transit_ms: float = 0.0,
    ):
        self._parts = parts
        self._context = parts.context
        self._asked = asked
        self._plan = plan
        self._route = route
        self._responder = responder
        self._started_ms = self._context.timers.now_ms()
        wait_ms = route.timeout_ms
        if asked.wait_ms is not None:
            wait_ms = min(wait_ms, asked.wait_ms - transit_ms - WRITE_MARGIN_MS)
        self._deadline_ms = self._started_ms + max(1.0, wait_ms)
        self._transit_ms = transit_ms
        self._answer_by_ms = self._deadline_ms
        self._missing: tuple[str, ...] = ()
        self._trace = RequestTrace(asked.id, self._context.timers.now_ms)
        self._timer: Subscription | None = None
        self._cancel: Callable[[], None] | None = None
        self._watch: RequestWatch | None = None

    def refuse(self, decision: Quarantined) -> None:
        """Refuse the request, as it ends the searchers that execute it.

        :param decision: what is known of it.
        """
        message = "Searchers end that execute this request."
        answer = refused("quarantined", message, decision.retry_after_ms)
        self._answer(answer, "quarantined")

    def watch(self, one_first: bool) -> None:
        """Watch it for searchers that end under it.

        :param one_first: whether it goes to one searcher first.
        """
        self._watch = self._parts.quarantine.watch(
            self._asked.fingerprint, self._route.name, one_first, self._stopped
        )

    def forward(self, service: str, delays: Delays) -> None:
        """Have one searcher of a service answer.

        :param service: the service.
        :param delays: the usual delays of such requests.
        """
        context = self._context
        context.budget.on_request((service,))
        terms = self._terms(delays, self._deadline_ms)
        if self._watch.one_first:
            terms = replace(terms, max_attempts=1, hedge_ms=None)
        call = ServiceCall(context, self._asked, service, terms, delays, self._called, self._trace)
        self._begin(call.cancel, lambda: self._expired(call))
        call.start()

    def gather(self, delays: Delays) -> None:
        """Have all shards answer.

        :param delays: the usual delays of such requests at one shard.
        """
        route = self._route
        lead_ms = self._transit_ms + self._parts.lead.lead_ms(route.name)
        answer_by_ms = self._started_ms + ANSWER_SHARE * route.target_latency_ms - lead_ms
        self._answer_by_ms = answer_by_ms
        terms = GatherTerms(
            route.name,
            route.shards,
            route.target_latency_ms,
            answer_by_ms,
            self._terms(delays, answer_by_ms, route.shards.top_k),
        )
        gathering = Gathering(
            self._context,
            self._asked,
            terms,
            delays,
            self._parts.far,
            self._gathered,
            self._trace,
        )
        self._begin(gathering.cancel, gathering.time_out)
        gathering.start()

    def _terms(self, delays: Delays, due_ms: float, top_k: int | None = None) -> CallTerms:
        route = self._route
        terms = call_terms(
            route.name,
            route.target_latency_ms,
            route.idempotent,
            route.max_attempts,
            route.priority,
            self._started_ms,
            self._deadline_ms,
            delays,
            due_ms,
            top_k,
        )
        return replace(terms, control=self._watch)

    def _begin(self, cancel: Callable[[], None], on_timeout: Callable[[], None]) -> None:
        self._cancel = cancel
        self._responder.on_abandoned(self._abandoned)
        wait_ms = self._deadline_ms - self._started_ms
        self._timer = self._context.timers.after(wait_ms, on_timeout)

    def _abandoned(self) -> None:
        self._timer.cancel()
        self._cancel()
        self._watch.close()
        self._log("caller-gone", CALLER_GONE)

    def _stopped(self) -> None:
        """Answer at once: no searcher that is still asked would live to reply."""
        self._cancel()
        message = "The searchers that executed this request ended."
        self._answer(failed("ends-searchers", message), "ends-searchers")

    def _expired(self, call: ServiceCall) -> None:
        may_have_run = call.may_have_run
        call.cancel()
        if may_have_run:
            self._answer(timed_out(), "timeout")
        else:
            self._answer(self._refusal("timeout", "No searcher had room in time."), "timeout")

    def _called(self, call: ServiceCall, result: Result) -> None:
        if isinstance(result, ReplyReceived):
            self._pass_on(result)
        elif isinstance(result, Refused):
            why = result.reason.value if result.reason else "no-searcher"
            self._answer(self._refusal(why, "No searcher took the request."), why)
        elif isinstance(result, Failed):
            why = result.reason.value if result.reason else "failed"
            self._answer(failed(why, "The searcher's reply did not come."), why)

    def _pass_on(self, result: ReplyReceived) -> None:
        reply = result.reply
        if reply.status in NOT_RUN_STATUSES:
            # To callers these say "not run", which this searcher did not say.
            self._answer(failed("searcher-failed", "The searcher failed."), "searcher-failed")
        else:
            self._answer(self._parts.dialect.encode_reply(reply), "passed")

    def _gathered(self, result: Gathered | NotEnough) -> None:
        missing = len(result.missing)
        self._missing = result.missing
        if isinstance(result, Gathered):
            answer = self._parts.dialect.encode_merged(result.signatures, missing, result.body)
            self._answer(answer, "gathered", missing)
            self._parts.lead.on_answered(self._route.name, answer)
            if result.by_time:
                self._parts.lead.on_delay(self._context.timers.now_ms() - self._answer_by_ms)
        elif not result.may_have_run:
            answer = self._refusal("too-few-shards", "Too few shards can answer.")
            self._answer(answer, "timeout" if result.timed_out else "no-shards", missing)
        elif result.timed_out:
            self._answer(timed_out(), "timeout", missing)
        else:
            answer = failed("too-few-shards", "Too few shards answered.")
            self._answer(answer, "too-few-shards", missing)

    def _refusal(self, code: str, message: str) -> Response:
        pause_ms = max(
            LEAST_RETRY_AFTER_MS,
            RETRY_AFTER_SHARE * self._route.target_latency_ms,
            self._parts.moving_ms(),
        )
        return refused(code, message, pause_ms * self._parts.rng.uniform(0.8, 1.2))

    def _answer(self, answer: Response, why: str, missing: int = 0) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._responder.answer(answer)
        if self._watch is not None:
            self._watch.close()
        took_ms = self._context.timers.now_ms() - self._started_ms
        self._parts.metrics.observe_latency(self._route.host, self._route.name, took_ms)
        succeeded = _is_success(answer.status)
        if not succeeded:
            self._parts.metrics.count_refusal(why, took_ms)
        elif self._route.shards is not None:
            share = 1.0 - missing / len(self._route.shards.services)
            self._parts.metrics.observe_coverage(self._route.host, self._route.name, share)
        if not succeeded or missing or took_ms > self._route.target_latency_ms:
            self._log(why, answer.status, missing)
        elif self._parts.rng.random() * SAMPLED_ONE_IN < 1.0:
            self._log("sampled", answer.status)

    def _log(self, why: str, status: int, missing: int = 0) -> None:
        if why == "sampled" or not (_is_success(status) or status == CALLER_GONE):
            self._trace.write_log()
        elif missing:
            self._trace.write_log(frozenset(self._missing))
        log_event(
            "request-ended",
            request=self._asked.id,
            fingerprint=self._asked.fingerprint,
            route=self._route.name,
            priority=self._route.priority,
            plan=self._plan.version,
            plan_age_ms=round(self._parts.follower.age_ms()),
            why=why,
            status=status,
            missing=missing,
            without=",".join(self._missing[:MOST_NAMED_SHARDS]),
            wait_ms=self._asked.wait_ms,
            took_ms=round(self._context.timers.now_ms() - self._started_ms, 1),
        )


def _is_success(status: int) -> bool:
    return 200 <= status < 300
