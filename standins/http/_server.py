"""A listening port."""

import asyncio
import socket
from collections.abc import Callable

from standins.http._connection import Connection
from standins.http._malformed import MalformedError
from standins.http._reply import Reply
from standins.http._request import Request

_BACKLOG = 1024


class Server:
    """Listens on one port.

    :param on_request: Called with the connection and its request; may raise
        :class:`MalformedError`.
    :param on_gone: Called with a connection that was closed while its request was open.
    :param on_opened: Called at each accept with the number of open connections, this one included;
        gives the time to hold the connection, in milliseconds, or None to close it at once.
    :param resets: Whether a connection that is closed at once is reset.
    """

    def __init__(
        self,
        on_request: Callable[[Connection, Request], None],
        on_gone: Callable[[Connection], None],
        on_opened: Callable[[int], float | None],
        resets: bool = False,
    ) -> None:
        self.resets = resets
        self._on_request = on_request
        self._on_gone = on_gone
        self._on_opened = on_opened
        self._socket: socket.socket | None = None
        self._serving: asyncio.Task[asyncio.Server] | None = None
        self._open: set[Connection] = set()

    def listen(self, ip: str, port: int) -> int:
        """Start to listen; a connection made from now on is accepted as soon as the loop runs.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        :raises OSError: When the port cannot be bound.
        """
        self._socket = socket.create_server((ip, port), backlog=_BACKLOG)
        loop = asyncio.get_running_loop()
        self._serving = loop.create_task(
            loop.create_server(lambda: Connection(self), sock=self._socket, backlog=_BACKLOG)
        )
        return self._socket.getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._serving.done():
            self._serving.result().close()
        self._serving.cancel()
        self._serving = None
        self._socket.close()

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._serving is not None

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

    def requested(self, connection: Connection, request: Request) -> None:
        """Pass a request on; a malformed one is answered 400.

        :param connection: The connection it came on.
        :param request: The request.
        """
        try:
            self._on_request(connection, request)
        except MalformedError:
            connection.reply(Reply(400, b'{"code":"malformed"}'))

    @property
    def open_connections(self) -> tuple[Connection, ...]:
        """The connections that are open now."""
        return tuple(self._open)

    def abort_all(self) -> None:
        """Close every open connection at once, with what is not yet sent."""
        for connection in tuple(self._open):
            connection.abort()
