"""One request to one service: whichever of its searchers answers first."""

from collections.abc import Callable

from rhubarbhinge.fleet import Delays, ObservedSearcher, SearcherStart, best_searcher
from rhubarbhinge.forward._call_terms import CallTerms
from rhubarbhinge.forward._caller_request import CallerRequest
from rhubarbhinge.forward._exchange import Attempt, Exchange
from rhubarbhinge.forward._outcome import Lost, NotRun, Outcome, Replied, Why, outcome_fields
from rhubarbhinge.forward._result import Failed, Passed, Refused, Result
from rhubarbhinge.forward._searcher_reply import SearcherReply
from rhubarbhinge.forward._story import Story
from rhubarbhinge.forward._surroundings import Surroundings
from rhubarbhinge.telemetry import SubQueryKind
from rhubarbhinge.timing import TimerHandle

MOST_REFUSED_SENDS = 4
"""Searchers that refuse cost arrivals but run nothing; so many are asked for one call at most."""
NEVER_SENT = (Why.UNREACHABLE, Why.LEAVING, Why.TOO_LATE)
"""Causes for which nothing arrived at a searcher."""
SEND_KINDS = {
    "first": SubQueryKind.BASE,
    "hedge": SubQueryKind.HEDGE,
    "retry": SubQueryKind.RETRY,
    "retry-later": SubQueryKind.RETRY,
}
"""How sends are counted, by the reason that the log gives for them."""
RETRY_PAUSE_MS = 25.0
"""Pause once all searchers have refused; about half an execution, after which a slot is free."""


class ServiceCall:
    """One request to one service, with its retries and its hedge.

    :param surroundings: what calls share.
    :param request: the caller's request.
    :param service: name of the service.
    :param terms: what is granted.
    :param delays: the usual delays of such requests.
    :param on_result: told the result, once and later than the start.
    :param story: keeps what is decided.
    :param ran: searchers of the service that may have executed the request before this call; they
        count among the attempts, and make each send an extra one.
    """

    __slots__ = (
        "_around",
        "_request",
        "service",
        "_terms",
        "_delays",
        "_on_result",
        "_story",
        "_open",
        "_tried",
        "_ran",
        "_refusals",
        "_arrived",
        "_failure",
        "_why",
        "_may_have_run",
        "_timer",
        "over",
    )

    def __init__(
        self,
        surroundings: Surroundings,
        request: CallerRequest,
        service: str,
        terms: CallTerms,
        delays: Delays,
        on_result: Callable[["ServiceCall", Result], None],
        story: Story,
        ran: int = 0,
    ):
        self._around = surroundings
        self._request = request
        self.service = service
        self._terms = terms
        self._delays = delays
        self._on_result = on_result
        self._story = story
        self._open: dict[SearcherStart, Attempt] = {}
        self._tried: set[SearcherStart] = set()
        self._ran = ran
        self._refusals = 0
        self._arrived = ran > 0
        self._failure: SearcherReply | None = None
        self._why: Why | None = None
        self._may_have_run = False
        self._timer: TimerHandle | None = None
        self.over = False

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher has executed the request, or may yet."""
        return self._may_have_run or any(attempt.sent for attempt in self._open.values())

    @property
    def arrived(self) -> bool:
        """Whether the request may have arrived at a searcher, of which it may have been refused."""
        return self._arrived or any(attempt.sent for attempt in self._open.values())

    def start(self) -> None:
        """Send to the searcher that is expected to answer first."""
        if self._ran >= self._terms.max_attempts:
            self._story.note("attempt-not-sent", self.service, why="no-attempts")
            self._around.timers.after(0, self._end)
            return
        if not self._has_attempt(self._ran, self._retry):
            return
        chosen = self._choose()
        if chosen is None or not self._may_send():
            self._story.note("attempt-not-sent", self.service, **self._shortage(chosen))
            self._around.timers.after(0, self._end)
            return
        self._send(chosen, "first")
        if self._terms.idempotent and self._terms.hedge_ms is not None:
            self._wait(self._terms.hedge_ms, self._hedge)

    def cancel(self) -> None:
        """Give the call up; its result is not told."""
        self.over = True
        self._stop_waiting()
        attempts, self._open = self._open, {}
        for attempt in attempts.values():
            attempt.cancel()

    def _choose(self) -> ObservedSearcher | None:
        around, terms = self._around, self._terms
        searchers = around.fleet.of(self.service)
        if terms.searcher:
            searchers = [
                one
                for one in searchers
                if one.searcher.incarnation == terms.searcher
                and one.searcher.may_have_started_at(terms.searcher_started_unix_ms)
            ]
        return best_searcher(
            searchers,
            around.preference,
            self._delays.quantile(0.5),
            around.timers.now_ms(),
            self._tried,
            around.may_send,
        )

    def _shortage(self, chosen: ObservedSearcher | None) -> dict:
        """Say why there was no send: no searcher that could be asked, or no budget."""
        if chosen is None:
            return {"why": "no-searcher", "tried": len(self._tried)}
        return {"why": "no-budget", "budget_left": round(self._around.budget.left(self.service), 1)}

    def _send(self, observed: ObservedSearcher, why: str) -> None:
        start = observed.start
        now_ms = self._around.timers.now_ms()
        kind = SEND_KINDS[why]
        self._around.metrics.count_sub_queries(self._terms.route_name, kind)
        self._story.note(
            "attempt-sent",
            self.service,
            start.incarnation,
            why=why,
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
        )
        self._open[start] = self._around.send(exchange, lambda outcome: self._ended(start, outcome))

    def _hedge(self) -> None:
        if self.over or self._is_late():
            return
        chosen = self._choose()
        if chosen is None or chosen.is_avoided(self._around.timers.now_ms()):
            self._story.note("hedge-not-sent", self.service, why="no-searcher")
            return
        unsent = [start for start, attempt in self._open.items() if not attempt.sent]
        if not self._has_attempt(self._ran - len(unsent), self._hedge):
            return
        if not self._may_send():
            self._story.note("hedge-not-sent", self.service, **self._shortage(chosen))
            return
        for start in unsent:
            # What still waits for a connection moves, which costs no searcher anything.
            self._open.pop(start).cancel()
            self._ran -= 1
        if unsent:
            self._wait(self._terms.hedge_ms, self._hedge)
        self._send(chosen, "hedge")

    def _has_attempt(self, ran: int, again: Callable[[], None]) -> bool:
        """Tell whether another searcher may execute the request.

        :param ran: how many may have executed it.
        :param again: called when one more may, if that has to be agreed on first.
        """
        terms = self._terms
        if ran >= terms.max_attempts:
            return False
        return terms.control.claim(self.service, ran + 1, again)

    def _may_send(self) -> bool:
        """Ask the budget, which counts what arrives at a service beyond the first time."""
        return not self.arrived or self._around.budget.take(self.service)

    def _ended(self, start: SearcherStart, outcome: Outcome) -> None:
        if self.over:
            return
        self._story.note(
            "attempt-ended", self.service, start.incarnation, **outcome_fields(outcome)
        )
        self._open.pop(start, None)
        if isinstance(outcome, Replied):
            self._replied(outcome.reply)
        elif isinstance(outcome, NotRun):
            self._not_run(outcome.why)
        else:
            self._lost(start, outcome)

    def _replied(self, reply: SearcherReply) -> None:
        self._arrived = True
        self._may_have_run = True
        self._terms.control.on_replied(self.service)
        if reply.status < 500 or not self._terms.idempotent:
            self._finish(Passed(reply))
            return
        self._failure = reply
        self._retry()

    def _lost(self, start: SearcherStart, outcome: Lost) -> None:
        self._arrived = True
        self._may_have_run = True
        self._why = outcome.why
        if outcome.searcher_ended:
            self._terms.control.on_ended(self.service, start.mark)
        if self.over:
            return
        if self._terms.idempotent:
            self._retry()
        else:
            self._end()

    def _not_run(self, why: Why) -> None:
        self._why = why
        self._ran -= 1
        if why not in NEVER_SENT:
            self._arrived = True
            self._refusals += 1
        if why is Why.TOO_LATE:
            self._end()
        else:
            self._retry()

    def _retry(self) -> None:
        if self.over:
            return
        if self._refusals >= MOST_REFUSED_SENDS or self._ran >= self._terms.max_attempts:
            self._end()
            return
        if not self._has_attempt(self._ran, self._retry):
            return
        now_ms = self._around.timers.now_ms()
        chosen = self._choose()
        if chosen is None and self._tried and now_ms < self._terms.retry_until_ms:
            # All have been asked; one that refused may have room again after a while.
            self._tried.clear()
            self._tried.update(self._open)
            self._wait(RETRY_PAUSE_MS, self._retry_paused)
        elif chosen is None or not self._may_send():
            self._story.note("retry-not-sent", self.service, **self._shortage(chosen))
            self._end()
        else:
            self._send(chosen, "retry")

    def _retry_paused(self) -> None:
        if self.over or self._open:
            return
        if self._is_late():
            self._end()
            return
        chosen = self._choose()
        if chosen is None or not self._may_send():
            self._story.note("retry-not-sent", self.service, **self._shortage(chosen))
            self._end()
        else:
            self._send(chosen, "retry-later")

    def _is_late(self) -> bool:
        """Tell whether the deadline is over, as it may be where the process was held up.

        Timers that were due before the deadline are called before the one that ends the request.
        """
        return self._around.timers.now_ms() >= self._terms.deadline_ms

    def _end(self) -> None:
        """Finish without a success, unless a searcher is still at work."""
        if self.over or self._open:
            return
        if self._failure is not None:
            self._finish(Passed(self._failure))
        elif self._may_have_run:
            self._finish(Failed(self._why))
        else:
            self._finish(Refused(self._why))

    def _finish(self, result: Result) -> None:
        self.cancel()
        self._terms.control.on_over(self.service)
        self._on_result(self, result)

    def _wait(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._stop_waiting()
        self._timer = self._around.timers.after(delay_ms, callback)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
