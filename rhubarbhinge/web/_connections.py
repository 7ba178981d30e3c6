"""HTTP connections to upstreams, whose use the caller decides on."""

from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.timing import Subscription, TimerService
from rhubarbhinge.web._reply import Reply
from rhubarbhinge.web._reply_parser import ReplyFault, ReplyParser
from rhubarbhinge.web._request_head import encode_request

TIMEOUT = "timeout"
"""Close reason of a connection whose reply did not come in time."""

MALFORMED = "malformed"
"""Close reason of a connection that brought no well-formed reply."""

UNASKED = "unasked"
"""Close reason of a connection that brought bytes that no request asked for."""


class _Conn:
    """State of one connection.

    :param host: value of the ``Host`` header.
    """

    __slots__ = ("host", "is_open", "parser", "timer", "closing")

    def __init__(self, host: str):
        self.host = host
        self.is_open = False
        self.parser: ReplyParser | None = None
        self.timer: Subscription | None = None
        self.closing = ""


class HttpConnections(BaseComponent):
    """Makes requests on connections that the caller opens, one at a time on each.

    A connection whose reply is late, malformed or unasked is closed and never used again, so a
    reply can only be that of the one request under way on its connection.

    :param timers: the timer service.
    :param on_open: called with a connection that has opened.
    :param on_reply: called with a connection and the reply to its request.
    :param on_close: called once for each connection, with the reason.
    :param notice_silence: whether a connection ends when the peer's host is silent.
    """

    channel = "http-connections"

    def __init__(
        self,
        timers: TimerService,
        on_open: Callable[[int], None],
        on_reply: Callable[[int, Reply], None],
        on_close: Callable[[int, str], None],
        notice_silence: bool = False,
    ):
        super().__init__()
        self._timers = timers
        self._on_open = on_open
        self._on_reply = on_reply
        self._on_close = on_close
        self._conns: dict[int, _Conn] = {}
        self._links = Links(
            self._opened, self._received, self._closed, notice_silence=notice_silence
        ).register(self)

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        """Start a connection; ``on_open`` or ``on_close`` is called later.

        :param ip: the upstream's IP address.
        :param port: the upstream's port.
        :param timeout_ms: longest that connecting may take, in milliseconds.
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

        Nothing is sent on a connection that the upstream has closed, or on which it has sent
        something unasked, even if that is still to be told.

        :param conn: an open connection without a request under way.
        :param method: the method.
        :param path: the path with its query, percent-encoded.
        :param body: the whole body.
        :param headers: more headers, besides those of host and length.
        :param timeout_ms: longest that the reply may take, in milliseconds.
        :returns: whether the request was handed to the connection; if not, none of it leaves.
        :raises RuntimeError: when the connection is not open or has a request under way.
        :raises ValueError: when the method, path or headers are not well-formed.
        """
        found = self._conns.get(conn)
        if found is None or not found.is_open or found.parser is not None:
            raise RuntimeError(f"connection {conn} can not take a request")
        data = encode_request(method, path, found.host, body, headers)
        if found.closing or not self._links.is_quiet(conn):
            return False
        found.parser = ReplyParser(method)
        found.timer = self._timers.after(timeout_ms, lambda: self._abort(conn, found, TIMEOUT))
        self._links.send(conn, data)
        return True

    def close(self, conn: int) -> None:
        """Close a connection at once; ``on_close`` is called later with ``local``.

        :param conn: the connection.
        """
        found = self._conns.get(conn)
        if found is not None:
            self._abort(conn, found, CloseReason.LOCAL.value)

    def reusable(self, conn: int) -> bool:
        """Tell whether a connection can take a request now.

        :param conn: the connection.
        :returns: whether it is open and quiet, and without a request under way.
        """
        found = self._conns.get(conn)
        if found is None or found.parser is not None or found.closing:
            return False
        return self._links.is_quiet(conn)

    def _opened(self, conn: int, inbound: bool) -> None:
        self._conns[conn].is_open = True
        self._on_open(conn)

    def _received(self, conn: int, data: bytes) -> None:
        found = self._conns[conn]
        if found.parser is None:
            self._abort(conn, found, UNASKED)
            return
        outcome = found.parser.feed(data)
        if outcome is None:
            return
        if isinstance(outcome, ReplyFault):
            self._abort(conn, found, MALFORMED)
            return
        self._finish(conn, found, outcome)

    def _finish(self, conn: int, found: _Conn, reply: Reply) -> None:
        reusable, unasked = found.parser.reusable, found.parser.unasked
        found.parser = None
        found.timer.cancel()
        if unasked:
            self._abort(conn, found, UNASKED)
        elif not reusable:
            self._abort(conn, found, CloseReason.PEER.value)
        self._on_reply(conn, reply)

    def _closed(self, conn: int, reason: CloseReason) -> None:
        found = self._conns.pop(conn)
        if found.timer is not None:
            found.timer.cancel()
        self._on_close(conn, found.closing or reason.value)

    def _abort(self, conn: int, found: _Conn, reason: str) -> None:
        if not found.closing:
            found.closing = reason
            self._links.abort(conn)
