"""All connections of a relay."""

from typing import Any

from rhubarbhinge.routing._connection import Connection


class ConnectionTable:
    """Allocates connection numbers, which are never reused, and looks connections up."""

    def __init__(self) -> None:
        self._by_conn: dict[int, Connection] = {}
        self._last_conn = 0
        self.get = self._by_conn.get

    def new(self, upstream: Any, now_ms: int) -> Connection:
        """Register a connection that is yet to be opened.

        :param upstream: the searcher's state.
        :param now_ms: current time in ms.
        :returns: the connection.
        """
        self._last_conn += 1
        connection = Connection(self._last_conn, upstream, now_ms)
        self._by_conn[connection.conn] = connection
        return connection

    def pop(self, conn: int) -> Connection | None:
        """Remove a connection.

        :param conn: its number.
        :returns: the connection, or None if it is not known.
        """
        return self._by_conn.pop(conn, None)
