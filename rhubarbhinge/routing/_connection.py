"""One connection to a searcher."""

from typing import Any

from rhubarbhinge.routing._job import Job


class Connection:
    """State of one connection.

    :param conn: its number.
    :param upstream: the searcher's state.
    :param opened_ms: time at which opening was requested.
    """

    __slots__ = ("closing", "conn", "job", "open", "opened_ms", "retired", "served", "upstream")

    def __init__(self, conn: int, upstream: Any, opened_ms: int) -> None:
        self.conn = conn
        self.upstream = upstream
        self.opened_ms = opened_ms
        #: Whether the searcher has accepted it.
        self.open = False
        #: Whether the shell was told to close it, or has reported it closed.
        self.closing = False
        #: Whether it takes no further request.
        self.retired = False
        #: Whether a response was received on it.
        self.served = False
        #: The request that it carries.
        self.job: Job | None = None
