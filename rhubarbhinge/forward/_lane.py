"""Connections to one searcher, and what waits for one."""

import heapq
from dataclasses import dataclass, field

from rhubarbhinge.fleet import ObservedSearcher
from rhubarbhinge.forward._exchanging import Exchanging
from rhubarbhinge.forward._reply_reader import ReplyReader


@dataclass(slots=True, eq=False)
class Connection:
    """State of one connection."""

    link: int
    searcher: ObservedSearcher
    is_open: bool = False
    reader: ReplyReader = field(default_factory=ReplyReader)
    exchanging: Exchanging | None = None
    idle_until_ms: float = 0.0
    skipped: int = 0


@dataclass(slots=True)
class Lane:
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
