"""A small HTTP/1.1 server for stand-ins, with control over its connections.

It stands apart from ``rhubarbhinge.web`` so that a fault there does not hide itself: a stand-in
must be able to hold, cut short and repeat answers, and to close connections as it pleases.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qsl, urlsplit

import h11


@dataclass(frozen=True, slots=True)
class Request:
    """One request with its whole body.

    :param method: The method in capitals.
    :param path: The path without its query.
    :param query: The query's fields; of a repeated one, the last.
    :param headers: The headers, names in lower case.
    :param body: The body.
    """

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Delivery(Enum):
    """How an answer is written to its connection."""

    WHOLE = "whole"
    LOST = "lost"
    TWICE = "twice"
    CUT_SHORT = "cut-short"


@dataclass(frozen=True, slots=True)
class Reply:
    """One answer.

    :param status: The HTTP status.
    :param body: The body, JSON.
    :param headers: More headers.
    :param delivery: How to write it.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    delivery: Delivery = Delivery.WHOLE


class Connection(asyncio.Protocol):
    """One caller's connection; requests are handled one at a time.

    :param server: The server that accepted it.
    """

    def __init__(self, server: "Server") -> None:
        self._server = server
        self._parser = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._peer_ip = ""
        self._busy = False
        self._held = False

    @property
    def peer_ip(self) -> str:
        """The caller's address."""
        return self._peer_ip

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept the connection, or close it when the server is at its cap."""
        self._transport = transport
        self._peer_ip = transport.get_extra_info("peername")[0]
        hold_ms = self._server.opened(self)
        if hold_ms is None:
            transport.abort()
        elif hold_ms > 0:
            self._held = True
            asyncio.get_running_loop().call_later(hold_ms / 1000, self._release)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the server that the caller is gone."""
        self._transport = None
        self._server.closed(self, self._busy)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        self._parser.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        """Close both ways when the caller closed one."""
        return False

    def reply(self, reply: Reply) -> None:
        """Answer the present request; nothing happens when the caller is gone.

        :param reply: The answer.
        """
        if self._transport is None or not self._busy:
            return
        if reply.delivery is Delivery.LOST:
            self.close()
            return
        data = self._encode(reply)
        if reply.delivery is Delivery.CUT_SHORT:
            self._transport.write(data[: -max(1, len(reply.body) // 2)])
            self.close()
            return
        self._transport.write(data * 2 if reply.delivery is Delivery.TWICE else data)
        self._finish()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def _release(self) -> None:
        self._held = False
        if self._transport is not None:
            self._advance()

    def _advance(self) -> None:
        while not self._busy and not self._held and self._transport is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                self.close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if not self._take(event):
                return

    def _take(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            self._head = event
            self._body = []
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._busy = True
            self._server.requested(self, _request(self._head, b"".join(self._body)))
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
            return False
        return True

    def _encode(self, reply: Reply) -> bytes:
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(reply.body)))]
        if reply.status == 204:
            headers = []
        headers.extend(reply.headers)
        send = self._parser.send
        head = send(h11.Response(status_code=reply.status, headers=headers))
        body = send(h11.Data(data=reply.body)) if reply.body else b""
        return head + body + send(h11.EndOfMessage())

    def _finish(self) -> None:
        self._busy = False
        if self._parser.our_state is h11.MUST_CLOSE:
            self.close()
            return
        self._parser.start_next_cycle()
        asyncio.get_running_loop().call_soon(self._advance)


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
        self._on_request = on_request
        self._on_gone = on_gone
        self._on_opened = on_opened
        self._open: set[Connection] = set()

    async def listen(self, ip: str, port: int) -> int:
        """Start to listen.

        :param ip: The address.
        :param port: The port, or 0 for any free one.
        :returns: The port bound.
        """
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: Connection(self), ip, port, backlog=1024)
        return listener.sockets[0].getsockname()[1]

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
        """Pass a request on.

        :param connection: The connection it came on.
        :param request: The request.
        """
        self._on_request(connection, request)

    def close_all(self) -> None:
        """Close every open connection."""
        for connection in tuple(self._open):
            connection.close()


def _request(head: h11.Request, body: bytes) -> Request:
    target = urlsplit(head.target.decode("latin-1"))
    return Request(
        method=head.method.decode("ascii"),
        path=target.path,
        query=dict(parse_qsl(target.query)) if target.query else {},
        headers={name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers},
        body=body,
    )
