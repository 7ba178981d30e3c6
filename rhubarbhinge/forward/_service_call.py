"""A call to one service, answered by whichever of its searchers replies first."""

from collections.abc import Callable

from rhubarbhinge.fleet import Delays, ObservedSearcher, SearcherStart, best_searcher
from rhubarbhinge.forward._call_context import CallContext
from rhubarbhinge.forward._call_terms import CallTerms
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._exchange import Attempt, Exchange
from rhubarbhinge.forward._loan_wait import LoanWait
from rhubarbhinge.forward._outcome import (
    FailureReason,
    GivenUp,
    Lost,
    NotRun,
    Outcome,
    Replied,
    outcome_fields,
)
from rhubarbhinge.forward._request_trace import RequestTrace
from rhubarbhinge.forward._result import Failed, Refused, ReplyReceived, Result
from rhubarbhinge.forward._searcher_reply import SearcherReply
from rhubarbhinge.telemetry import SubQueryKind
from rhubarbhinge.timing import TimerHandle

MAX_REFUSALS = 4
"""Maximum number of attempts per call that are refused, or removed from a queue that is too long.
A refused request is not executed, but still counts as extra load on the service."""
NOT_SENT_REASONS = (
    FailureReason.UNREACHABLE,
    FailureReason.LEAVING,
    FailureReason.TOO_LATE,
    FailureReason.QUEUE_TOO_LONG,
)
"""Reasons for which the request did not reach a searcher."""
SUB_QUERY_KINDS = {
    "first": SubQueryKind.BASE,
    "hedge": SubQueryKind.HEDGE,
    "retry": SubQueryKind.RETRY,
    "retry-later": SubQueryKind.RETRY,
}
"""Metric kind of an attempt, by the reason that is logged for it."""
RETRY_PAUSE_MS = 25.0
"""Delay before the next attempt when all searchers have refused. It is about half of an execution,
after which a slot is likely to be free."""


class ServiceCall:
    """A call to one service, including its retries and hedges.

    :param context: dependencies shared by all calls.
    :param request: the caller's request.
    :param service: name of the service.
    :param terms: limits and options of the call.
    :param delays: recent latencies of such requests.
    :param on_result: called once with the result, after :meth:`start` has returned.
    :param trace: records the decisions made for the request.
    :param ran: number of searchers of the service that may have executed the request before this
        call. They count towards the attempt limit, and make every attempt of this call an extra
        send.
    :param unsettled: number of these of which :meth:`settle_prior` will report whether the request
        reached the searcher. While an attempt may still be returned, the call does not fail for
        lack of attempts.
    """

    __slots__ = (
        "_context",
        "_request",
        "service",
        "_terms",
        "_delays",
        "_on_result",
        "_trace",
        "_open_attempts",
        "_tried",
        "_ran",
        "_prior",
        "_unsettled_prior",
        "_given_up",
        "_was_settled",
        "_refusals",
        "_arrived",
        "_failed_reply",
        "_last_reason",
        "_may_have_run",
        "_timer",
        "_loan_wait",
        "finished",
    )

    def __init__(
        self,
        context: CallContext,
        request: CallerRequest,
        service: str,
        terms: CallTerms,
        delays: Delays,
        on_result: Callable[["ServiceCall", Result], None],
        trace: RequestTrace,
        ran: int = 0,
        unsettled: int = 0,
    ):
        self._context = context
        self._request = request
        self.service = service
        self._terms = terms
        self._delays = delays
        self._on_result = on_result
        self._trace = trace
        self._open_attempts: dict[SearcherStart, Attempt] = {}
        self._tried: set[SearcherStart] = set()
        self._ran = ran
        self._refusals = 0
        self._prior = ran
        self._unsettled_prior = unsettled
        self._given_up: set[SearcherStart] = set()
        # Whether an attempt that was given up, here or before this call, had its final outcome.
        self._was_settled = False
        self._arrived = False
        self._failed_reply: SearcherReply | None = None
        self._last_reason: FailureReason | None = None
        self._may_have_run = False
        self._timer: TimerHandle | None = None
        self._loan_wait: LoanWait | None = None
        self.finished = False

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher has executed the request, or may still do so."""
        return self._may_have_run or any(attempt.sent for attempt in self._open_attempts.values())

    @property
    def arrived(self) -> bool:
        """Whether the request may have reached a searcher, even if the searcher refused it."""
        return (
            self._arrived
            or self._prior > 0
            or any(attempt.sent for attempt in self._open_attempts.values())
        )

    def start(self) -> None:
        """Send the request to the searcher with the lowest expected latency."""
        if self._ran >= self._terms.max_attempts:
            self._trace.note("attempt-not-sent", self.service, why="no-attempts")
            self._context.timers.after(0, self._finish_unsuccessfully)
            return
        if not self._claim_attempt(self._ran, self._on_retry_granted):
            return
        chosen = self._choose()
        if chosen is None or not self._take_budget():
            self._trace.note("attempt-not-sent", self.service, **self._not_sent_fields(chosen))
            self._context.timers.after(0, self._finish_unsuccessfully)
            return
        self._send(chosen, "first")
        if self._terms.idempotent and self._terms.hedge_ms is not None:
            self._start_timer(self._terms.hedge_ms, self._hedge)

    def settle_prior(self, not_run: bool) -> None:
        """Process whether a prior attempt, one of the unsettled ones, reached a searcher.

        :param not_run: whether it did not, in which case it no longer counts.
        """
        if self.finished:
            return
        self._unsettled_prior -= 1
        if not_run:
            self._prior -= 1
            self._ran -= 1
        self._on_settled(not_run)

    def cancel(self) -> None:
        """Cancel the call; its result is not reported."""
        self.finished = True
        self._cancel_timer()
        self._stop_waiting_for_loan()
        attempts, self._open_attempts = self._open_attempts, {}
        for attempt in attempts.values():
            attempt.cancel()

    def _choose(self) -> ObservedSearcher | None:
        context, terms = self._context, self._terms
        searchers = context.fleet.of_service(self.service)
        if terms.searcher:
            searchers = [
                one
                for one in searchers
                if one.searcher.incarnation == terms.searcher
                and one.searcher.may_have_started_at(terms.searcher_started_unix_ms)
            ]
        return best_searcher(
            searchers,
            context.cost_function,
            self._delays.quantile(0.5),
            context.timers.now_ms(),
            self._tried,
            context.may_send,
        )

    def _not_sent_fields(self, chosen: ObservedSearcher | None) -> dict:
        """Return the log fields that explain why nothing was sent: no eligible searcher or no
        budget."""
        if chosen is None:
            return {"why": "no-searcher", "tried": len(self._tried)}
        return {
            "why": "no-budget",
            "budget_left": round(self._context.budget.left(self.service), 1),
        }

    def _send(self, observed: ObservedSearcher, reason: str) -> None:
        # Any send replaces a retry that waits for a loan.
        self._stop_waiting_for_loan()
        start = observed.start
        now_ms = self._context.timers.now_ms()
        kind = SUB_QUERY_KINDS[reason]
        self._context.metrics.count_sub_queries(self._terms.route_name, kind)
        self._trace.note(
            "attempt-sent",
            self.service,
            start.incarnation,
            why=reason,
            in_flight=len(observed.started_ms),
            slowness=round(observed.slowness(now_ms), 2),
            left_ms=round(self._terms.deadline_ms - now_ms),
        )
        self._tried.add(start)
        self._ran += 1
        terms = self._terms
        exchange = Exchange(
            observed,
            self._request,
            terms.deadline_ms,
            self._delays,
            terms.priority,
            terms.due_ms,
            terms.route_name,
            terms.search,
            terms.virtual_start_ms,
        )
        self._open_attempts[start] = self._context.send(
            exchange, lambda outcome: self._on_attempt_ended(start, outcome)
        )

    def _hedge(self) -> None:
        if self.finished or self._is_past_deadline():
            return
        chosen = self._choose()
        if chosen is None or chosen.is_avoided(self._context.timers.now_ms()):
            self._trace.note("hedge-not-sent", self.service, why="no-searcher")
            return
        unsent = [start for start, attempt in self._open_attempts.items() if not attempt.sent]
        if not self._claim_attempt(self._ran - len(unsent), self._hedge):
            return
        if not self._take_budget():
            self._trace.note("hedge-not-sent", self.service, **self._not_sent_fields(chosen))
            return
        for start in unsent:
            # Replace the queued attempt instead of adding one; it has cost no searcher anything
            # yet.
            self._open_attempts.pop(start).cancel()
            self._ran -= 1
        if unsent:
            self._start_timer(self._terms.hedge_ms, self._hedge)
        self._send(chosen, "hedge")

    def _claim_attempt(self, ran: int, on_granted: Callable[[], None]) -> bool:
        """Check whether one more searcher may execute the request.

        :param ran: number of searchers that may have executed it.
        :param on_granted: called if the permission has to be negotiated and is granted later.
        """
        terms = self._terms
        if ran >= terms.max_attempts:
            return False
        return terms.control.claim(self.service, ran + 1, on_granted)

    def _take_budget(self) -> bool:
        """Take one send from the retry budget, unless this is the first to reach the service."""
        return not self.arrived or self._context.budget.take(self.service)

    def _on_attempt_ended(self, start: SearcherStart, outcome: Outcome) -> None:
        if self.finished:
            return
        self._trace.note(
            "attempt-ended", self.service, start.incarnation, **outcome_fields(outcome)
        )
        if isinstance(outcome, GivenUp):
            self._given_up.add(start)
            if self._terms.idempotent:
                self._retry()
            return
        self._open_attempts.pop(start, None)
        if start in self._given_up:
            self._settle(start, outcome)
            return
        if isinstance(outcome, Replied):
            self._replied(outcome.reply)
        elif isinstance(outcome, NotRun):
            self._not_run(outcome.reason)
        else:
            self._lost(start, outcome)

    def _settle(self, start: SearcherStart, outcome: Outcome) -> None:
        """Process the final outcome of an attempt that was given up."""
        self._given_up.discard(start)
        not_run = isinstance(outcome, NotRun)
        if not_run:
            self._ran -= 1
            # The request never left the other entry, which says nothing about the searcher.
            self._tried.discard(start)
        else:
            self._arrived = True
            self._may_have_run = True
        self._last_reason = outcome.reason
        self._on_settled(not_run)

    def _on_settled(self, not_run: bool) -> None:
        """Continue if the call only waited for this; it was retried when the attempt was given up.

        A returned attempt is not sent beside one in progress, which would be an additional hedge.
        """
        self._was_settled = True
        if not self._is_in_progress:
            if not_run or self._terms.idempotent:
                self._retry()
            else:
                self._finish_unsuccessfully()

    @property
    def _is_in_progress(self) -> bool:
        """Whether an attempt that was not given up is in progress."""
        return len(self._open_attempts) > len(self._given_up)

    def _replied(self, reply: SearcherReply) -> None:
        self._arrived = True
        self._may_have_run = True
        self._terms.control.on_replied(self.service)
        if reply.status < 500 or not self._terms.idempotent:
            self._finish(ReplyReceived(reply))
            return
        self._failed_reply = reply
        self._retry()

    def _lost(self, start: SearcherStart, outcome: Lost) -> None:
        self._arrived = True
        self._may_have_run = True
        self._last_reason = outcome.reason
        if outcome.searcher_exited:
            self._terms.control.on_searcher_exited(self.service, start.mark)
        if self.finished:
            return
        if self._terms.idempotent:
            self._retry()
        else:
            self._trace.note("retry-not-sent", self.service, why="not-idempotent")
            self._finish_unsuccessfully(is_final=True)

    def _not_run(self, reason: FailureReason) -> None:
        self._last_reason = reason
        self._ran -= 1
        if reason not in NOT_SENT_REASONS:
            self._arrived = True
        if reason not in NOT_SENT_REASONS or reason is FailureReason.QUEUE_TOO_LONG:
            # A request must not wait in the queue of every searcher in turn.
            self._refusals += 1
        if reason is FailureReason.TOO_LATE:
            self._finish_unsuccessfully(is_final=True)
        elif reason is FailureReason.QUEUE_TOO_LONG and self._is_in_progress:
            # The other attempt decides. Without one, another searcher may have a shorter queue.
            return
        else:
            self._retry()

    def _retry(self) -> None:
        if self.finished:
            return
        if self._refusals >= MAX_REFUSALS or self._ran >= self._terms.max_attempts:
            self._trace.note(
                "retry-not-sent", self.service, why="no-attempts", tried=len(self._tried)
            )
            self._finish_unsuccessfully(is_final=self._refusals >= MAX_REFUSALS)
            return
        if not self._claim_attempt(self._ran, self._on_retry_granted):
            return
        now_ms = self._context.timers.now_ms()
        chosen = self._choose()
        if chosen is None and self._tried and now_ms < self._terms.retry_until_ms:
            # Every searcher has been tried; one that refused may have capacity again after a pause.
            self._tried.clear()
            self._tried.update(self._open_attempts)
            self._stop_waiting_for_loan()
            self._start_timer(RETRY_PAUSE_MS, self._retry_paused)
        else:
            self._send_retry(chosen, "retry")

    def _on_retry_granted(self) -> None:
        """Retry, unless an attempt was sent after another one settled while this was awaited."""
        if not (self._was_settled and self._is_in_progress):
            self._retry()

    def _retry_paused(self) -> None:
        if self.finished or self._is_in_progress:
            return
        if self._is_past_deadline() or self._ran >= self._terms.max_attempts:
            self._finish_unsuccessfully()
            return
        self._send_retry(self._choose(), "retry-later")

    def _send_retry(self, chosen: ObservedSearcher | None, kind: str) -> None:
        """Send a retry, let it wait for a loan of retry budget, or finish.

        :param chosen: the searcher; None if there is none.
        :param kind: reason of the attempt, as logged.
        """
        if chosen is not None and self._take_budget():
            self._send(chosen, kind)
        elif chosen is None or not self._wait_for_loan(kind):
            self._trace.note("retry-not-sent", self.service, **self._not_sent_fields(chosen))
            self._stop_waiting_for_loan()
            self._finish_unsuccessfully()

    def _wait_for_loan(self, kind: str) -> bool:
        """Let a retry wait for a loan of retry budget, if one is being asked for.

        :param kind: reason of the attempt, as logged.
        """
        if self._loan_wait is None:
            self._loan_wait = LoanWait(
                self._context,
                self.service,
                self._terms.deadline_ms,
                lambda: self._retry_after_loan(kind),
            )
        return self._loan_wait.start()

    def _retry_after_loan(self, kind: str) -> None:
        if self._is_past_deadline():
            self._finish_unsuccessfully()
        else:
            self._send_retry(self._choose(), kind)

    def _stop_waiting_for_loan(self) -> None:
        if self._loan_wait is not None:
            self._loan_wait.cancel()
            self._loan_wait = None

    def _is_past_deadline(self) -> bool:
        """Check whether the deadline has passed, which is possible if the process was stalled.

        Timers due before the deadline run before the timer that ends the request.
        """
        return self._context.timers.now_ms() >= self._terms.deadline_ms

    def _finish_unsuccessfully(self, is_final: bool = False) -> None:
        """Finish without a success, unless an attempt is in progress or may still be returned.

        :param is_final: whether to finish even if an attempt that was given up may turn out not to
            have run.
        """
        if self.finished or self._is_in_progress:
            return
        if not is_final and (self._unsettled_prior or self._given_up):
            # Until an attempt is returned, this call must not hold up those of other services.
            self._terms.control.on_call_finished(self.service)
            return
        self._may_have_run = self._may_have_run or bool(self._given_up)
        self._arrived = self._arrived or bool(self._given_up)
        if self._failed_reply is not None:
            self._finish(ReplyReceived(self._failed_reply))
        elif self._may_have_run:
            self._finish(Failed(self._last_reason))
        else:
            self._finish(Refused(self._last_reason))

    def _finish(self, result: Result) -> None:
        self.cancel()
        self._terms.control.on_call_finished(self.service)
        self._on_result(self, result)

    def _start_timer(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._context.timers.after(delay_ms, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
