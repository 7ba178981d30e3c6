"""Connections to one searcher, and what waits for one."""

import heapq

from msgspec import Struct, field

from rhubarbhinge.fleet import ObservedSearcher
from rhubarbhinge.forward._exchanging import Exchanging
from rhubarbhinge.forward._reply_reader import ReplyReader

LEAST_USEFUL_SHARE = 0.6
"""With less than this part of the usual delay left a request would mostly be run in vain."""


class Connection(Struct, eq=False):
    """State of one connection."""

    link: int
    searcher: ObservedSearcher
    is_open: bool = False
    reader: ReplyReader = field(default_factory=ReplyReader)
    exchanging: Exchanging | None = None
    idle_until_ms: float = 0.0
    skipped: int = 0


class Lane(Struct):
    """Connections to one searcher, and what waits for one; the idle one used last is next."""

    idle: list[Connection] = field(default_factory=list)
    count: int = 0
    opening: int = 0
    waiting: list[Exchanging] = field(default_factory=list)

    def next_waiting(self) -> Exchanging | None:
        """Take what waits first.

        :returns: the exchange, or None.
        """
        while self.waiting:
            exchanging = heapq.heappop(self.waiting)
            if not exchanging.over:
                return exchanging
        return None

    def take_sendable(self, now_ms: float) -> tuple[Exchanging | None, list[Exchanging]]:
        """Take what waits first and can still be done.

        What comes too late for its latency objective goes behind all that does not: failing it
        would bring its caller back with a whole new request.

        :param now_ms: the time.
        :returns: the exchange, or None, and those that can't be done before their deadline.
        """
        hopeless = []
        while (exchanging := self.next_waiting()) is not None:
            exchange = exchanging.exchange
            least_ms = LEAST_USEFUL_SHARE * exchange.delays.quantile(0.5)
            if exchange.deadline_ms - now_ms < least_ms:
                hopeless.append(exchanging)
            elif exchanging.late or exchange.due_ms - now_ms >= least_ms:
                return exchanging, hopeless
            else:
                exchanging.late = True
                heapq.heappush(self.waiting, exchanging)
        return None, hopeless
