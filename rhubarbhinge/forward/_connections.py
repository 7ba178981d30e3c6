"""Connections to one searcher, and the queue of exchanges that wait for one."""

import heapq

from msgspec import Struct, field

from rhubarbhinge.admission import SendPace
from rhubarbhinge.fleet import ObservedSearcher
from rhubarbhinge.forward._pending_exchange import PendingExchange
from rhubarbhinge.forward._reply_reader import ReplyReader

MAX_REQUESTS_PER_CONNECTION = 128
"""Maximum number of requests sent on one connection; bounds the memory for their ids."""


class Connection(Struct, eq=False):
    """State of one connection.

    ``request_ids`` are the ids of all requests sent on it. A searcher may repeat a reply at any
    later time, and only the id tells to which request it belongs. No id is therefore sent twice on
    one connection: a late reply to the first attempt would be taken for the reply to the second.
    """

    link: int
    searcher: ObservedSearcher
    is_open: bool = False
    reader: ReplyReader = field(default_factory=ReplyReader)
    pending: PendingExchange | None = None
    idle_until_ms: float = 0.0
    skipped: int = 0
    request_ids: set[str] = field(default_factory=set)

    def has_sent(self, pending: PendingExchange) -> bool:
        """Check whether an earlier attempt at the same request was sent on this connection.

        :param pending: an exchange that is to be sent.
        :returns: whether it has to be sent on another connection.
        """
        return pending.exchange.request.id in self.request_ids

    @property
    def accepts_requests(self) -> bool:
        """Whether further requests may be sent, as far as this side is concerned."""
        return not self.skipped and len(self.request_ids) < MAX_REQUESTS_PER_CONNECTION


class SearcherConnections(Struct):
    """Connections to one searcher, and the queue of exchanges that wait for one.

    Idle connections are reused in LIFO order. ``in_flight`` counts those that have an exchange,
    also while they are being opened; ``wake_up_due`` is whether the queue will be tried again once
    the send window is restored.
    """

    idle: list[Connection] = field(default_factory=list)
    count: int = 0
    opening: int = 0
    in_flight: int = 0
    wake_up_due: bool = False
    waiting: list[PendingExchange] = field(default_factory=list)
    pace: SendPace = field(default_factory=SendPace)

    def pop_waiting(self) -> PendingExchange | None:
        """Remove and return the first queued exchange.

        :returns: the exchange, or None if the queue is empty.
        """
        while self.waiting:
            pending = heapq.heappop(self.waiting)
            if not pending.finished:
                return pending
        return None

    def pop_sendable(self, now_ms: float) -> tuple[PendingExchange | None, list[PendingExchange]]:
        """Remove and return the first queued exchange that can still finish before its deadline.

        Exchanges that can no longer meet their latency objective are moved behind all others rather
        than failed, as the caller would retry a failed one as an entirely new request.

        :param now_ms: current time.
        :returns: the exchange, or None if there is none, and the exchanges that cannot finish
            before their deadline.
        """
        expired = []
        while (pending := self.pop_waiting()) is not None:
            exchange = pending.exchange
            least_ms = pending.least_ms
            if exchange.deadline_ms - now_ms < least_ms:
                expired.append(pending)
            elif pending.late or exchange.due_ms - now_ms >= pending.least_on_time_ms:
                self.pace.on_sent(now_ms)
                return pending, expired
            else:
                pending.late = True
                heapq.heappush(self.waiting, pending)
        return None, expired
