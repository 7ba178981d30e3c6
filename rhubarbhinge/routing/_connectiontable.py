"""All connections of a relay."""

from typing import Any

from rhubarbhinge.routing._connection import Connection


class ConnectionTable:
    """Numbers connections and finds them; a number is never used again."""

    def __init__(self) -> None:
        self._by_conn: dict[int, Connection] = {}
        self._last_conn = 0
        self.get = self._by_conn.get

    def new(self, upstream: Any, now_ms: int) -> Connection:
        """Make a connection that is still to be opened.

        :param upstream: the searcher's state.
        :param now_ms: the time.
        :returns: the connection.
        """
        self._last_conn += 1
        connection = Connection(self._last_conn, upstream, now_ms)
        self._by_conn[connection.conn] = connection
        return connection

    def pop(self, conn: int) -> Connection | None:
        """Forget a connection.

        :param conn: its number.
        :returns: the connection, or None when it is not known.
        """
        return self._by_conn.pop(conn, None)
