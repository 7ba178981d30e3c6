"""A listening port."""

import asyncio
from collections.abc import Callable

from standins.http._connection import Connection
from standins.http._request import Request

_BACKLOG = 1024


class Server:
    """Listens on one port.

    :param on_request: Called with the connection and its request.
    :param on_gone: Called with a connection that was closed while its request was open.
    :param on_opened: Called at each accept with the number of open connections, this one included;
        gives the time to hold the connection, in milliseconds, or None to close it at once.
    """

    def __init__(
        self,
        on_request: Callable[[Connection, Request], None],
        on_gone: Callable[[Connection], None],
        on_opened: Callable[[int], float | None],
    ) -> None:
        self.requested = on_request
        self._on_gone = on_gone
        self._on_opened = on_opened
        self._listener: asyncio.Server | None = None
        self._open: set[Connection] = set()

    async def listen(self, ip: str, port: int) -> int:
        """Start to listen.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: Connection(self), ip, port, backlog=_BACKLOG
        )
        return self._listener.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        self._listener.close()
        self._listener = None

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener is not None

    def opened(self, connection: Connection) -> float | None:
        """Count a new connection.

        :param connection: The connection.
        :returns: How long to hold it in milliseconds, or None to close it.
        """
        hold_ms = self._on_opened(len(self._open) + 1)
        if hold_ms is not None:
            self._open.add(connection)
        return hold_ms

    def closed(self, connection: Connection, busy: bool) -> None:
        """Forget a connection.

        :param connection: The connection.
        :param busy: Whether its request was still open.
        """
        self._open.discard(connection)
        if busy:
            self._on_gone(connection)

    def abort_all(self) -> None:
        """Close every open connection at once, with what is not yet sent."""
        for connection in tuple(self._open):
            connection.abort()
