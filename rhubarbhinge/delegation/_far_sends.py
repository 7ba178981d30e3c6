"""Sends of single shards to searchers of other failure domains, by an entry there."""

import itertools
from collections.abc import Callable

from rhubarbhinge.delegation._delegates import ANSWER_MARGIN_MS, Delegate, Delegates
from rhubarbhinge.delegation._messages import Answer, Ask
from rhubarbhinge.forward import (
    Attempt,
    Exchange,
    FailureReason,
    Lost,
    NotRun,
    Outcome,
    Replied,
    SearcherReply,
    SendAttempt,
)
from rhubarbhinge.gather import FarNews
from rhubarbhinge.timing import TimerService


class FarSends:
    """Sends shards to searchers of other failure domains by an entry near them.

    The entry sends it to the searcher that was chosen here and to no other, so that no searcher
    gets a request twice: a faulty one's double reply to the first could be taken for the second.

    Most of these are hedges. By the compressed link between two entries one takes some 300 bytes
    between the domains; a request and a reply of its own take 630. Without an entry to ask, and for
    requests that are no part of a search, it is sent directly.

    :param timers: the timer service.
    :param delegates: asks other entries.
    :param failure_domain: that of this entry.
    :param direct: sends to any searcher.
    """

    def __init__(
        self,
        timers: TimerService,
        delegates: Delegates,
        failure_domain: str,
        direct: SendAttempt,
    ):
        self._timers = timers
        self._delegates = delegates
        self._failure_domain = failure_domain
        self._direct = direct
        # Below 0, so that they differ from those of direct attempts at the same searcher.
        self._numbers = itertools.count(-1, -1)

    def send(self, exchange: Exchange, tell: Callable[[Outcome], None]) -> Attempt:
        """Start an exchange.

        :param exchange: what is asked of whom.
        :param tell: told the outcome, once and later.
        :returns: the handle to cancel it by.
        """
        domain = exchange.searcher.searcher.failure_domain
        if exchange.search is None or domain == self._failure_domain:
            return self._direct(exchange, tell)
        addresses = self._delegates.choose(domain, 1)
        if not addresses:
            return self._direct(exchange, tell)
        attempt = _AskedAttempt(self._timers, next(self._numbers), exchange, tell)
        ask = _ask(exchange, self._timers.now_ms())
        attempt.ask = self._delegates.ask(addresses[0], ask, attempt.take, attempt.grant_nothing)
        return attempt


def _ask(exchange: Exchange, now_ms: float) -> Ask:
    left_ms = max(0.0, exchange.deadline_ms - now_ms)
    answer_in_ms = exchange.due_ms - now_ms - ANSWER_MARGIN_MS
    request = exchange.request
    return Ask(
        number=0,
        request_id=request.id,
        head=request.head,
        body=request.body,
        route=exchange.route_name,
        services=(exchange.searcher.searcher.service,),
        top_k=exchange.search.top_k,
        priority=exchange.priority,
        max_attempts=1,
        target_latency_ms=exchange.search.target_latency_ms,
        # What is late already is answered once it is there.
        answer_in_ms=answer_in_ms if answer_in_ms > 0 else left_ms,
        left_ms=left_ms,
        searcher=exchange.searcher.searcher.incarnation,
        searcher_started_unix_ms=exchange.searcher.searcher.started_unix_ms,
    )


class _AskedAttempt:
    """One attempt that another entry makes.

    :param timers: the timer service.
    :param number: identifies it at the searcher.
    :param exchange: what is asked of whom.
    :param tell: told the outcome.
    :ivar ask: the ask under way.
    """

    __slots__ = (
        "_timers",
        "_number",
        "_exchange",
        "_tell",
        "_sent_ms",
        "_over",
        "_searcher_exited",
        "ask",
    )

    sent = True

    def __init__(
        self,
        timers: TimerService,
        number: int,
        exchange: Exchange,
        tell: Callable[[Outcome], None],
    ):
        self._timers = timers
        self._number = number
        self._exchange = exchange
        self._tell = tell
        self._sent_ms = timers.now_ms()
        self._over = False
        self._searcher_exited = False
        self.ask: Delegate | None = None
        exchange.searcher.on_sent(number, self._sent_ms)
        exchange.searcher.on_written(number, self._sent_ms)

    def cancel(self) -> None:
        """Give the attempt up."""
        if self._over:
            return
        self._over = True
        self.ask.cancel()
        now_ms = self._timers.now_ms()
        waited_ms = now_ms - self._sent_ms
        typical_ms = self._exchange.delays.quantile(0.5)
        self._exchange.searcher.on_cancelled(self._number, waited_ms, typical_ms, now_ms)

    def grant_nothing(self, services: tuple[str, ...], news: FarNews) -> tuple[str, ...]:
        """Agree to no second attempt of the other entry, as this one is the call's own.

        :param services: shards for which it wants one.
        :param news: how its attempt fares.
        :returns: none of them.
        """
        self._searcher_exited = self._searcher_exited or bool(news.ended)
        return ()

    def take(self, answer: Answer | None) -> None:
        """Take what the other entry says.

        :param answer: its answer; None when it failed.
        """
        if self._over or (answer is not None and answer.pending):
            return
        self._over = True
        self._tell(self._outcome(answer))

    def _outcome(self, answer: Answer | None) -> Outcome:
        exchange, now_ms = self._exchange, self._timers.now_ms()
        searcher, service = exchange.searcher, exchange.searcher.searcher.service
        if answer is not None and answer.services == (service,):
            delay_ms = now_ms - self._sent_ms
            searcher.on_reply(self._number, delay_ms, exchange.delays.quantile(0.5), now_ms)
            return Replied(_reply(exchange.request.id, answer), delay_ms)
        if answer is not None and answer.untried == (service,):
            searcher.on_withdrawn(self._number)
            return NotRun(FailureReason.UNREACHABLE)
        if answer is not None and not answer.may_have_run:
            searcher.on_refused(self._number, now_ms)
            return NotRun(FailureReason.NO_ROOM)
        searcher.on_withdrawn(self._number)
        return Lost(FailureReason.BROKEN, self._searcher_exited)


def _reply(request_id: str, answer: Answer) -> SearcherReply:
    return SearcherReply(
        status=200,
        headers=(),
        body=answer.body,
        request_id=request_id,
        signature=answer.signatures[0],
        not_run=False,
        wrong_searcher=False,
        keep_alive_ms=None,
    )
