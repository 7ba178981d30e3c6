"""One connection to a searcher."""

from typing import Any

from rhubarbhinge.routing._job import Job


class Connection:
    """A connection's state.

    :param conn: its number.
    :param upstream: the searcher's state.
    :param opened_ms: when it was asked for.
    """

    __slots__ = ("closing", "conn", "job", "open", "opened_ms", "retired", "served", "upstream")

    def __init__(self, conn: int, upstream: Any, opened_ms: int) -> None:
        self.conn = conn
        self.upstream = upstream
        self.opened_ms = opened_ms
        self.open = False
        self.closing = False
        self.retired = False
        self.served = False
        self.job: Job | None = None
