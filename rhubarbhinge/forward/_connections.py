"""Connections to one searcher, and the queue of exchanges that wait for one."""

import heapq

from msgspec import Struct, field

from rhubarbhinge.admission import SendPace
from rhubarbhinge.fleet import ObservedSearcher
from rhubarbhinge.forward._pending_exchange import PendingExchange
from rhubarbhinge.forward._reply_reader import ReplyReader


class Connection(Struct, eq=False):
    """State of one connection."""

    link: int
    searcher: ObservedSearcher
    is_open: bool = False
    reader: ReplyReader = field(default_factory=ReplyReader)
    pending: PendingExchange | None = None
    idle_until_ms: float = 0.0
    skipped: int = 0


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
