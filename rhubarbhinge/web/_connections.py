"""HTTP connections to upstreams that the owner opens, reuses and closes explicitly."""

from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.timing import TimerHandle, TimerService
from rhubarbhinge.web._reply import Reply
from rhubarbhinge.web._reply_parser import ReplyFault, ReplyParser
from rhubarbhinge.web._request_encoding import encode_request

TIMEOUT = "timeout"
"""Close reason of a connection whose reply did not arrive in time."""

MALFORMED = "malformed"
"""Close reason of a connection that received an invalid reply."""

UNSOLICITED = "unasked"
"""Close reason of a connection that received data without a pending request."""


class _Conn:
    """State of one connection.

    :param host: value of the ``Host`` header.
    """

    __slots__ = ("host", "is_open", "parser", "timer", "close_reason")

    def __init__(self, host: str):
        self.host = host
        self.is_open = False
        self.parser: ReplyParser | None = None
        self.timer: TimerHandle | None = None
        self.close_reason = ""


class HttpConnections(BaseComponent):
    """Sends requests on explicitly opened connections, one request at a time on each.

    A connection with a late, malformed or unsolicited reply is closed and never reused, so that a
    reply always belongs to the request that is pending on its connection.

    :param timers: the timer service.
    :param on_open: called with a connection once it is established.
    :param on_reply: called with a connection and the reply to its request.
    :param on_close: called exactly once for each connection, with the reason.
    :param detect_dead_peers: whether connections are closed when the peer's host stops responding.
    """

    channel = "http-connections"

    def __init__(
        self,
        timers: TimerService,
        on_open: Callable[[int], None],
        on_reply: Callable[[int, Reply], None],
        on_close: Callable[[int, str], None],
        detect_dead_peers: bool = False,
    ):
        super().__init__()
        self._timers = timers
        self._on_open = on_open
        self._on_reply = on_reply
        self._on_close = on_close
        self._conns: dict[int, _Conn] = {}
        self._links = Links(
            self._opened, self._received, self._closed, detect_dead_peers=detect_dead_peers
        ).register(self)

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        """Start connecting; ``on_open`` or ``on_close`` is called later.

        :param ip: IP address of the upstream.
        :param port: port of the upstream.
        :param timeout_ms: connect timeout in milliseconds.
        :returns: the connection.
        """
        conn = self._links.open(ip, port, timeout_ms)
        self._conns[conn] = _Conn(f"{ip}:{port}")
        return conn

    def request(
        self,
        conn: int,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
        timeout_ms: float = 30_000.0,
    ) -> bool:
        """Send a request; ``on_reply`` or ``on_close`` is called later.

        Nothing is sent if the upstream has already closed the connection or sent unsolicited data,
        even if this has not been reported yet.

        :param conn: an open connection without a pending request.
        :param method: the request method.
        :param path: the path and query, percent-encoded.
        :param body: the request body.
        :param headers: additional request headers; host and length are set automatically.
        :param timeout_ms: reply timeout in milliseconds.
        :returns: whether the request was queued for sending; if False, no part of it will be sent.
        :raises RuntimeError: if the connection is not open or has a pending request.
        :raises ValueError: if the method, path or headers are invalid.
        """
        found = self._conns.get(conn)
        if found is None or not found.is_open or found.parser is not None:
            raise RuntimeError(f"connection {conn} is not open or has a pending request")
        data = encode_request(method, path, found.host, body, headers)
        if found.close_reason or not self._links.is_idle(conn):
            return False
        found.parser = ReplyParser(method)
        found.timer = self._timers.after(timeout_ms, lambda: self._abort(conn, found, TIMEOUT))
        self._links.send(conn, data)
        return True

    def close(self, conn: int) -> None:
        """Close a connection immediately; ``on_close`` is called later with ``local``.

        :param conn: the connection.
        """
        found = self._conns.get(conn)
        if found is not None:
            self._abort(conn, found, CloseReason.LOCAL.value)

    def reusable(self, conn: int) -> bool:
        """Return whether a request can be sent on a connection now.

        :param conn: the connection.
        :returns: whether it is open, has no pending request and no unread input.
        """
        found = self._conns.get(conn)
        if found is None or found.parser is not None or found.close_reason:
            return False
        return self._links.is_idle(conn)

    def _opened(self, conn: int, inbound: bool) -> None:
        self._conns[conn].is_open = True
        self._on_open(conn)

    def _received(self, conn: int, data: bytes) -> None:
        found = self._conns[conn]
        if found.parser is None:
            self._abort(conn, found, UNSOLICITED)
            return
        outcome = found.parser.feed(data)
        if outcome is None:
            return
        if isinstance(outcome, ReplyFault):
            self._abort(conn, found, MALFORMED)
            return
        self._finish_reply(conn, found, outcome)

    def _finish_reply(self, conn: int, found: _Conn, reply: Reply) -> None:
        reusable, unsolicited = found.parser.reusable, found.parser.unsolicited
        found.parser = None
        found.timer.cancel()
        if unsolicited:
            self._abort(conn, found, UNSOLICITED)
        elif not reusable:
            self._abort(conn, found, CloseReason.PEER.value)
        self._on_reply(conn, reply)

    def _closed(self, conn: int, reason: CloseReason) -> None:
        found = self._conns.pop(conn)
        if found.timer is not None:
            found.timer.cancel()
        self._on_close(conn, found.close_reason or reason.value)

    def _abort(self, conn: int, found: _Conn, reason: str) -> None:
        if not found.close_reason:
            found.close_reason = reason
            self._links.abort(conn)
