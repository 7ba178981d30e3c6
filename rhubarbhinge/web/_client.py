"""An HTTP client with a small pool of idle connections."""

import itertools
from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.timing import TimerHandle, TimerService
from rhubarbhinge.web._connections import MALFORMED, TIMEOUT, HttpConnections
from rhubarbhinge.web._content_coding import ACCEPT_GZIP, decode_content
from rhubarbhinge.web._failure import Failure
from rhubarbhinge.web._reply import Reply

MAX_IDLE_PER_ADDRESS = 4
"""Maximum number of idle connections kept for one address."""

IDLE_TIMEOUT_MS = 15_000.0
"""Default time after which an idle connection is closed; below most servers' own timeout."""

Address = tuple[str, int]
Headers = tuple[tuple[str, str], ...]


class _Call:
    """State of one call.

    :param address: IP address and port of the server.
    :param request_args: method, path, body and headers of the request.
    :param deadline_ms: time at which the call times out.
    :param on_done: called with the outcome.
    """

    __slots__ = ("address", "request_args", "deadline_ms", "on_done", "conn", "sent", "timer")

    def __init__(
        self, address: Address, request_args: tuple, deadline_ms: float, on_done: Callable
    ):
        self.address = address
        self.request_args = request_args
        self.deadline_ms = deadline_ms
        self.on_done = on_done
        self.conn = 0
        self.sent = False
        self.timer: TimerHandle | None = None


class HttpClient(BaseComponent):
    """Makes HTTP calls to any address; requests are never retried.

    :param timers: the timer service.
    :param accept_gzip: whether to accept gzip-compressed replies, which are decoded before
        delivery.
    :param idle_timeout_ms: time after which an idle connection is closed. A connection that has
        died meanwhile costs the next call its whole timeout.
    """

    channel = "http-client"

    def __init__(
        self,
        timers: TimerService,
        accept_gzip: bool = False,
        idle_timeout_ms: float = IDLE_TIMEOUT_MS,
    ):
        super().__init__()
        self._timers = timers
        self._idle_timeout_ms = idle_timeout_ms
        self._accept_gzip = accept_gzip
        self._call_ids = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._by_conn: dict[int, int] = {}
        self._idle: dict[Address, dict[int, TimerHandle]] = {}
        self._addresses: dict[int, Address] = {}
        self._connections = HttpConnections(
            timers, self._opened, self._replied, self._closed, detect_dead_peers=True
        ).register(self)

    def call(
        self,
        ip: str,
        port: int,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers = (),
        timeout_ms: float = 30_000.0,
        on_done: Callable[[Reply | Failure], None] = lambda outcome: None,
    ) -> int:
        """Start a call; its outcome is reported later, exactly once, unless the call is cancelled.

        :param ip: IP address of the server.
        :param port: port of the server.
        :param method: the request method.
        :param path: the path and query, percent-encoded.
        :param body: the request body.
        :param headers: additional request headers.
        :param timeout_ms: timeout of the whole call, including the connect, in milliseconds.
        :param on_done: called with the outcome.
        :returns: an identifier to cancel the call with.
        """
        call_id = next(self._call_ids)
        deadline_ms = self._timers.now_ms() + timeout_ms
        call = _Call((ip, port), (method, path, body, headers), deadline_ms, on_done)
        self._calls[call_id] = call
        call.timer = self._timers.after(timeout_ms, lambda: self._expire(call_id))
        conn = self._pop_idle(call.address)
        if conn is None:
            call.conn = self._connections.open(ip, port, timeout_ms)
            self._addresses[call.conn] = call.address
            self._by_conn[call.conn] = call_id
        else:
            self._by_conn[conn] = call_id
            self._send(conn, call)
        return call_id

    def cancel(self, call: int) -> None:
        """Cancel a call: its outcome is not reported, and its connection is closed.

        :param call: identifier of the call.
        """
        cancelled = self._calls.pop(call, None)
        if cancelled is not None:
            cancelled.timer.cancel()
            self._connections.close(cancelled.conn)

    def _pop_idle(self, address: Address) -> int | None:
        idle = self._idle.get(address, {})
        while idle:
            conn, timer = idle.popitem()
            timer.cancel()
            if self._connections.reusable(conn):
                return conn
        return None

    def _send(self, conn: int, call: _Call) -> None:
        call.conn = conn
        method, path, body, headers = call.request_args
        if self._accept_gzip:
            headers += ACCEPT_GZIP
        remaining_ms = call.deadline_ms - self._timers.now_ms()
        call.sent = self._connections.request(conn, method, path, body, headers, remaining_ms)

    def _opened(self, conn: int) -> None:
        call = self._calls.get(self._by_conn[conn])
        if call is not None:
            self._send(conn, call)

    def _replied(self, conn: int, reply: Reply) -> None:
        call_id = self._by_conn.pop(conn)
        self._keep_idle(conn)
        decoded_reply = decode_content(reply) if self._accept_gzip else reply
        self._finish(call_id, Failure(MALFORMED, True) if decoded_reply is None else decoded_reply)

    def _closed(self, conn: int, reason: str) -> None:
        address = self._addresses.pop(conn)
        self._remove_idle(address, conn)
        call_id = self._by_conn.pop(conn, None)
        if call_id is not None:
            self._fail(call_id, reason)

    def _keep_idle(self, conn: int) -> None:
        idle = self._idle.setdefault(self._addresses[conn], {})
        if len(idle) >= MAX_IDLE_PER_ADDRESS or not self._connections.reusable(conn):
            self._connections.close(conn)
            return
        timeout_ms = self._idle_timeout_ms
        idle[conn] = self._timers.after(timeout_ms, lambda: self._connections.close(conn))

    def _remove_idle(self, address: Address, conn: int) -> None:
        idle = self._idle.get(address)
        if idle is None:
            return
        timer = idle.pop(conn, None)
        if timer is not None:
            timer.cancel()
        if not idle:
            del self._idle[address]

    def _expire(self, call_id: int) -> None:
        call = self._calls.get(call_id)
        if call is not None:
            self._connections.close(call.conn)
            self._fail(call_id, TIMEOUT)

    def _fail(self, call_id: int, code: str) -> None:
        call = self._calls.get(call_id)
        if call is not None:
            self._finish(call_id, Failure(code, call.sent))

    def _finish(self, call_id: int, outcome: Reply | Failure) -> None:
        call = self._calls.pop(call_id, None)
        if call is not None:
            call.timer.cancel()
            call.on_done(outcome)
