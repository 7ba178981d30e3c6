"""Handling of one request."""

from collections.abc import Callable

from msgspec.structs import replace

from rhubarbhinge.admission import Rejected
from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import (
    CallerRequest,
    CallTerms,
    Failed,
    FailureReason,
    Refused,
    ReplyReceived,
    RequestTrace,
    Result,
    ServiceCall,
)
from rhubarbhinge.gateway._call_terms import call_terms
from rhubarbhinge.gateway._forward_admission import AdmittedRequest
from rhubarbhinge.gateway._gateway_dependencies import GatewayDependencies
from rhubarbhinge.gateway._responses import failed, refused, timed_out
from rhubarbhinge.gather import Gathered, GatherTerms, ScatterGather, TooFewShards
from rhubarbhinge.plans import Route, ServingPlan
from rhubarbhinge.quarantine import Quarantined, RequestWatch
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerHandle
from rhubarbhinge.web import Responder, Response

ANSWER_FRACTION = 0.96
"""Fraction of the latency objective after which a search is answered with the replies received so
far, less the round trips to the caller and the lead time of the answer. The remainder allows for
variation of the round trips."""
WRITE_MARGIN_MS = 2.0
"""Deadlines are shortened by this much, as writing an answer takes one to two milliseconds."""
RETRY_AFTER_FRACTION = 0.25
"""Delay before callers may retry, as a fraction of the latency objective."""
MIN_RETRY_AFTER_MS = 50.0
"""Minimum delay before callers may retry; a shorter one would meet the same shortage."""
BUFFER_RETRY_AFTER_MS = 250.0
"""Minimum delay before callers may retry while the buffers are full: slow readers are closed at
this interval."""
STOPPING_MESSAGE = "This entry is shutting down."
MAX_LOGGED_SHARDS = 8
"""Maximum number of missing shards named in a log line."""
SAMPLING_INTERVAL = 64
"""One in this many successful requests is logged with its steps, as a reference for the others. At
20 requests per second this takes a few KB every three seconds, a small part of the log's budget."""
CALLER_GONE = 0
"""Status logged for a request whose caller disconnected before the answer."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Status codes that tell callers that the request was not executed."""
WAITED_REASONS = (FailureReason.TOO_LATE, FailureReason.QUEUE_TOO_LONG)
"""Reasons of refusals after which callers return once the queue has drained."""


class RequestHandler:
    """Handles one request.

    :param dependencies: dependencies shared by all requests.
    :param request: the request.
    :param plan: the plan under which the request was accepted.
    :param route: route of the request.
    :param responder: sends the response.
    :param transit_ms: round-trip time that adds to the latency seen by the caller.
    :param on_end: called with the handler once the request has been answered or its caller has
        disconnected.
    """

    def __init__(
        self,
        dependencies: GatewayDependencies,
        request: CallerRequest,
        plan: ServingPlan,
        route: Route,
        responder: Responder,
        transit_ms: float = 0.0,
        on_end: Callable[["RequestHandler"], None] = lambda handler: None,
    ):
        self._dependencies = dependencies
        self._context = dependencies.context
        self._request = request
        self._plan = plan
        self._route = route
        self._responder = responder
        self._started_ms = self._context.timers.now_ms()
        wait_ms = route.timeout_ms
        if request.wait_ms is not None:
            wait_ms = min(wait_ms, request.wait_ms - transit_ms - WRITE_MARGIN_MS)
        self._deadline_ms = self._started_ms + max(1.0, wait_ms)
        self._transit_ms = transit_ms
        self._answer_by_ms = self._deadline_ms
        self._missing: tuple[str, ...] = ()
        self._trace = RequestTrace(request.id, self._context.timers.now_ms)
        self._on_end = on_end
        self._is_deadline_limited = False
        self._timer: TimerHandle | None = None
        self._cancel: Callable[[], None] | None = None
        self._on_deadline: Callable[[], None] | None = None
        self._watch: RequestWatch | None = None
        self._leave: Callable[[], None] = _do_nothing
        self._retry_after_ms: Callable[[float], float] | None = None

    def refuse(self, decision: Quarantined) -> None:
        """Refuse the request because it crashes the searchers that execute it.

        :param decision: the quarantine decision on the request.
        """
        message = "Searchers end that execute this request."
        answer = refused("quarantined", message, decision.retry_after_ms)
        self._answer(answer, "quarantined")

    def refuse_for_memory(self) -> None:
        """Refuse the request because too much is buffered for callers that read slowly."""
        message = "Too many responses wait for callers that read slowly."
        answer = self._refusal("buffer-full", message, BUFFER_RETRY_AFTER_MS)
        self._answer(answer, "buffer-full")

    def refuse_for_shutdown(self) -> None:
        """Refuse the request because the entry ends before it could be served."""
        self._answer(self._refusal("stopping", STOPPING_MESSAGE), "stopping")

    def limit_deadline(self, latest_ms: float) -> None:
        """Answer the request by a given time, even if its caller would wait longer.

        :param latest_ms: time by which the entry has to answer, as it shuts down.
        """
        if self._deadline_ms <= latest_ms:
            return
        self._deadline_ms = latest_ms
        self._is_deadline_limited = True
        if self._timer is not None:
            self._timer.cancel()
            self._start_timer()

    def watch(self, one_first: bool) -> None:
        """Watch for searchers that end while executing the request.

        :param one_first: whether one searcher has to reply before the others get the request.
        """
        self._watch = self._dependencies.quarantine.watch(
            self._request.fingerprint, self._route.name, one_first, self._on_searchers_ended
        )

    def forward(self, service: str, delays: Delays) -> None:
        """Forward the request to one searcher of a service.

        :param service: the service.
        :param delays: recent reply times on the route.
        """
        context = self._context
        terms = self._terms(delays, self._deadline_ms)
        if self._dependencies.admission is not None:
            self._retry_after_ms = lambda pause_ms: self._dependencies.admission.retry_after_ms(
                service, delays, pause_ms
            )
            arrival = self._arrive(service, delays)
            if isinstance(arrival, Rejected):
                message = "Its turn would come after its deadline."
                self._answer(refused("overloaded", message, arrival.retry_after_ms), "overloaded")
                return
            self._leave = arrival.leave
            terms = replace(terms, due_ms=self._due_ms, virtual_start_ms=arrival.virtual_start_ms)
        context.budget.on_request((service,))
        if self._watch.one_first:
            terms = replace(terms, max_attempts=1, hedge_ms=None)
        call = ServiceCall(
            context, self._request, service, terms, delays, self._on_forwarded, self._trace
        )
        self._register_cancellation(call.cancel, lambda: self._on_timeout(call))
        call.start()

    def _arrive(self, service: str, delays: Delays) -> AdmittedRequest | Rejected:
        return self._dependencies.admission.arrive(
            self._request,
            service,
            self._route.priority,
            self._due_ms,
            self._deadline_ms,
            delays,
            self._min_pause_ms(),
        )

    @property
    def _due_ms(self) -> float:
        """Time at which a reply has to arrive to meet the objective of a forwarded request."""
        objective_ms = self._route.target_latency_ms - self._transit_ms
        return min(self._deadline_ms, self._started_ms + objective_ms)

    def gather(self, delays: Delays) -> None:
        """Send the request to all shards and merge their replies.

        :param delays: recent reply times of a single shard on the route.
        """
        route = self._route
        lead_ms = self._transit_ms + self._dependencies.lead_time.lead_ms(route.name)
        answer_by_ms = self._started_ms + ANSWER_FRACTION * route.target_latency_ms - lead_ms
        self._answer_by_ms = answer_by_ms
        terms = GatherTerms(
            route.name,
            route.shards,
            route.target_latency_ms,
            answer_by_ms,
            self._terms(delays, answer_by_ms, route.shards.top_k),
        )
        search = ScatterGather(
            self._context,
            self._request,
            terms,
            delays,
            self._dependencies.delegation,
            self._on_gathered,
            self._trace,
        )
        self._register_cancellation(search.cancel, search.time_out)
        search.start()

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

    def _register_cancellation(
        self, cancel: Callable[[], None], on_timeout: Callable[[], None]
    ) -> None:
        self._cancel = cancel
        self._on_deadline = on_timeout
        self._responder.on_abandoned(self._on_caller_gone)
        self._start_timer()

    def _start_timer(self) -> None:
        left_ms = max(0.0, self._deadline_ms - self._context.timers.now_ms())
        self._timer = self._context.timers.after(left_ms, self._on_deadline)

    def _on_caller_gone(self) -> None:
        self._on_end(self)
        self._timer.cancel()
        self._cancel()
        self._leave()
        self._watch.close()
        self._log("caller-gone", CALLER_GONE)

    def _on_searchers_ended(self) -> None:
        """Fail the request at once, as no searcher would survive long enough to reply."""
        self._cancel()
        message = "The searchers that executed this request ended."
        self._answer(failed("ends-searchers", message), "ends-searchers")

    def _on_timeout(self, call: ServiceCall) -> None:
        may_have_run = call.may_have_run
        call.cancel()
        why = "stopping" if self._is_deadline_limited else "timeout"
        if may_have_run:
            self._answer(self._no_reply_in_time(), why)
        else:
            self._answer(self._refusal_after_wait(why), why)

    def _on_forwarded(self, call: ServiceCall, result: Result) -> None:
        if isinstance(result, ReplyReceived):
            self._forward_reply(result)
        elif isinstance(result, Refused):
            why = result.reason.value if result.reason else "no-searcher"
            if result.reason in WAITED_REASONS:
                self._answer(self._refusal_after_wait(why), why)
            else:
                self._answer(self._refusal(why, "No searcher took the request."), why)
        elif isinstance(result, Failed):
            why = result.reason.value if result.reason else "failed"
            self._answer(failed(why, "The searcher's reply did not come."), why)

    def _forward_reply(self, result: ReplyReceived) -> None:
        reply = result.reply
        if reply.status in NOT_RUN_STATUSES:
            # Callers would conclude that the request was not executed, which is not known.
            self._answer(failed("searcher-failed", "The searcher failed."), "searcher-failed")
        else:
            self._answer(self._dependencies.dialect.encode_reply(reply), "passed")

    def _on_gathered(self, result: Gathered | TooFewShards) -> None:
        missing = len(result.missing)
        self._missing = result.missing
        if isinstance(result, Gathered):
            answer = self._dependencies.dialect.encode_merged(
                result.signatures, missing, result.body
            )
            self._answer(answer, "gathered", missing)
            self._dependencies.lead_time.on_answered(self._route.name, answer)
            if result.at_due_time:
                self._dependencies.lead_time.on_write_delay(
                    self._context.timers.now_ms() - self._answer_by_ms
                )
        elif not result.may_have_run:
            answer = self._refusal("too-few-shards", "Too few shards can answer.")
            self._answer(answer, "timeout" if result.timed_out else "no-shards", missing)
        elif result.timed_out:
            self._answer(self._no_reply_in_time(), "timeout", missing)
        else:
            answer = failed("too-few-shards", "Too few shards answered.")
            self._answer(answer, "too-few-shards", missing)

    def _refusal(
        self, code: str, message: str, min_delay_ms: float = MIN_RETRY_AFTER_MS
    ) -> Response:
        pause_ms = self._min_pause_ms(min_delay_ms) * self._dependencies.rng.uniform(0.8, 1.2)
        return refused(code, message, pause_ms)

    def _refusal_after_wait(self, code: str) -> Response:
        """Refuse a request that waited for a connection in vain."""
        message = "No searcher had room in time."
        if self._retry_after_ms is None:
            return self._refusal(code, message)
        return refused(code, message, self._retry_after_ms(self._min_pause_ms()))

    def _no_reply_in_time(self) -> Response:
        if self._is_deadline_limited:
            return failed("stopping", STOPPING_MESSAGE)
        return timed_out()

    def _min_pause_ms(self, min_delay_ms: float = MIN_RETRY_AFTER_MS) -> float:
        return max(
            min_delay_ms,
            RETRY_AFTER_FRACTION * self._route.target_latency_ms,
            self._dependencies.balancer_delay_ms(),
        )

    def _answer(self, answer: Response, why: str, missing: int = 0) -> None:
        self._on_end(self)
        if self._timer is not None:
            self._timer.cancel()
        self._leave()
        self._responder.answer(answer)
        if self._watch is not None:
            self._watch.close()
        took_ms = self._context.timers.now_ms() - self._started_ms
        self._dependencies.metrics.observe_latency(self._route.host, self._route.name, took_ms)
        succeeded = _is_success(answer.status)
        if not succeeded:
            self._dependencies.metrics.count_refusal(why, took_ms)
        elif self._route.shards is not None:
            share = 1.0 - missing / len(self._route.shards.services)
            self._dependencies.metrics.observe_coverage(self._route.host, self._route.name, share)
        if not succeeded or missing or took_ms > self._route.target_latency_ms:
            self._log(why, answer.status, missing)
        elif self._dependencies.rng.random() * SAMPLING_INTERVAL < 1.0:
            self._log("sampled", answer.status)

    def _log(self, why: str, status: int, missing: int = 0) -> None:
        if why == "sampled" or not (_is_success(status) or status == CALLER_GONE):
            self._trace.write_log()
        elif missing:
            self._trace.write_log(frozenset(self._missing))
        log_event(
            "request-ended",
            request=self._request.id,
            fingerprint=self._request.fingerprint,
            route=self._route.name,
            priority=self._route.priority,
            plan=self._plan.version,
            plan_age_ms=round(self._dependencies.follower.age_ms()),
            why=why,
            status=status,
            missing=missing,
            without=",".join(self._missing[:MAX_LOGGED_SHARDS]),
            wait_ms=self._request.wait_ms,
            took_ms=round(self._context.timers.now_ms() - self._started_ms, 1),
        )


def _do_nothing() -> None:
    """Do nothing; for requests that admission control does not count."""


def _is_success(status: int) -> bool:
    return 200 <= status < 300
