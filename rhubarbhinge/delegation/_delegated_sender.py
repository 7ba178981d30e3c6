"""Attempts at searchers of other failure domains that are made by a delegate there."""

import itertools
from collections.abc import Callable

from rhubarbhinge.delegation._client import REPLY_MARGIN_MS, DelegateCall, DelegateClient
from rhubarbhinge.delegation._message_size import can_delegate
from rhubarbhinge.delegation._messages import DelegateReply, DelegateRequest
from rhubarbhinge.forward import (
    Attempt,
    Exchange,
    FailureReason,
    GivenUp,
    Lost,
    NotRun,
    Outcome,
    Replied,
    SearcherReply,
    SendAttempt,
)
from rhubarbhinge.gather import AttemptReport
from rhubarbhinge.timing import TimerService


class DelegatedSender:
    """Sends single-shard requests to searchers of other failure domains via an entry near them.

    The delegate sends the request only to the searcher chosen here, so that no searcher gets a
    request twice.

    Most of these requests are hedges. Over the compressed link between two entries, one takes
    some 300 bytes between the domains; a separate request and reply take 630. Requests that are
    not part of a search, those that are too long for a message between entries, and those for which
    no entry is available, are sent directly.

    :param timers: the timer service.
    :param client: sends requests to other entries.
    :param failure_domain: failure domain of this entry.
    :param direct: sends to a searcher directly.
    """

    def __init__(
        self,
        timers: TimerService,
        client: DelegateClient,
        failure_domain: str,
        direct: SendAttempt,
    ):
        self._timers = timers
        self._client = client
        self._failure_domain = failure_domain
        self._send_directly = direct
        # Negative, to differ from the numbers of direct attempts at the same searcher.
        self._numbers = itertools.count(-1, -1)

    def send(self, exchange: Exchange, on_outcome: Callable[[Outcome], None]) -> Attempt:
        """Start an attempt.

        :param exchange: the request and its searcher.
        :param on_outcome: called once with the final outcome, possibly after ``GivenUp``, and not
            before this method returns.
        :returns: a handle to cancel the attempt.
        """
        addresses = self._delegates(exchange)
        if not addresses:
            return self._send_directly(exchange, on_outcome)
        attempt = _DelegatedAttempt(self._timers, next(self._numbers), exchange, on_outcome)
        request = _request_for(exchange, self._timers.now_ms())
        attempt.call = self._client.send(
            addresses[0], request, attempt.on_reply, attempt.deny_attempts
        )
        attempt.call.on_given_up = attempt.give_up
        return attempt

    def _delegates(self, exchange: Exchange) -> list[str]:
        """Choose the entry that makes an attempt; none if it is to be made directly."""
        domain, search = exchange.searcher.searcher.failure_domain, exchange.search
        if search is None or domain == self._failure_domain:
            return []
        if not can_delegate(exchange.request, search.top_k):
            return []
        return self._client.choose(domain, 1)


def _request_for(exchange: Exchange, now_ms: float) -> DelegateRequest:
    left_ms = max(0.0, exchange.deadline_ms - now_ms)
    reply_after_ms = exchange.due_ms - now_ms - REPLY_MARGIN_MS
    request = exchange.request
    return DelegateRequest(
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
        # If the reply is overdue already, it is sent as soon as it is complete.
        reply_after_ms=reply_after_ms if reply_after_ms > 0 else left_ms,
        left_ms=left_ms,
        searcher=exchange.searcher.searcher.incarnation,
        searcher_started_unix_ms=exchange.searcher.searcher.started_unix_ms,
    )


class _DelegatedAttempt:
    """An attempt made by another entry.

    :param timers: the timer service.
    :param number: identifies the attempt at the searcher.
    :param exchange: the request and its searcher.
    :param on_outcome: called with the outcome.
    :ivar call: the delegated request in progress.
    """

    __slots__ = (
        "_timers",
        "_number",
        "_exchange",
        "_on_outcome",
        "_sent_ms",
        "_finished",
        "_searcher_exited",
        "_given_up",
        "call",
    )

    sent = True

    def __init__(
        self,
        timers: TimerService,
        number: int,
        exchange: Exchange,
        on_outcome: Callable[[Outcome], None],
    ):
        self._timers = timers
        self._number = number
        self._exchange = exchange
        self._on_outcome = on_outcome
        self._sent_ms = timers.now_ms()
        self._finished = False
        self._searcher_exited = False
        self._given_up = False
        self.call: DelegateCall | None = None
        exchange.searcher.on_sent(number, self._sent_ms)
        exchange.searcher.on_written(number, self._sent_ms)

    def cancel(self) -> None:
        """Cancel the attempt."""
        if self._finished:
            return
        self._finished = True
        self.call.cancel()
        if self._given_up:
            return
        now_ms = self._timers.now_ms()
        waited_ms = now_ms - self._sent_ms
        typical_ms = self._exchange.delays.quantile(0.5)
        self._exchange.searcher.on_cancelled(self._number, waited_ms, typical_ms, now_ms)

    def give_up(self) -> None:
        """Report that the delegate has not accepted the request in time and may not have begun."""
        if not self._finished:
            self._given_up = True
            self._exchange.searcher.on_withdrawn(self._number)
            self._on_outcome(GivenUp())

    def deny_attempts(self, services: tuple[str, ...], report: AttemptReport) -> tuple[str, ...]:
        """Grant no further attempts, as this object stands for a single one.

        :param services: shards for which the delegate requests an attempt.
        :param report: progress of its attempt.
        :returns: no shards.
        """
        self._searcher_exited = self._searcher_exited or bool(report.ended)
        return ()

    def on_reply(self, reply: DelegateReply | None) -> None:
        """Handle a reply of the delegate.

        :param reply: the reply; None if the delegate failed.
        """
        if self._finished or (reply is not None and reply.pending):
            return
        self._finished = True
        self._on_outcome(self._outcome(reply))

    def _outcome(self, reply: DelegateReply | None) -> Outcome:
        if self._given_up:
            has_not_run = reply is not None and not reply.may_have_run
            return NotRun(FailureReason.UNREACHABLE) if has_not_run else Lost(FailureReason.BROKEN)
        exchange, now_ms = self._exchange, self._timers.now_ms()
        searcher, service = exchange.searcher, exchange.searcher.searcher.service
        if reply is not None and reply.services == (service,):
            delay_ms = now_ms - self._sent_ms
            searcher.on_reply(self._number, delay_ms, exchange.delays.quantile(0.5), now_ms)
            return Replied(_searcher_reply(exchange.request.id, reply), delay_ms)
        if reply is not None and reply.untried == (service,):
            searcher.on_withdrawn(self._number)
            return NotRun(FailureReason.UNREACHABLE)
        if reply is not None and not reply.may_have_run:
            searcher.on_refused(self._number, now_ms)
            return NotRun(FailureReason.NO_ROOM)
        searcher.on_withdrawn(self._number)
        return Lost(FailureReason.BROKEN, self._searcher_exited)


def _searcher_reply(request_id: str, reply: DelegateReply) -> SearcherReply:
    return SearcherReply(
        status=200,
        headers=(),
        body=reply.body,
        request_id=request_id,
        signature=reply.signatures[0],
        not_run=False,
        wrong_searcher=False,
        keep_alive_ms=None,
    )
