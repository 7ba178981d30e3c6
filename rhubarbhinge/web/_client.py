"""A simple HTTP client that keeps a few idle connections."""

import itertools
from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.timing import Subscription, TimerService
from rhubarbhinge.web._coding import ACCEPT_GZIP, decoded
from rhubarbhinge.web._connections import MALFORMED, TIMEOUT, HttpConnections
from rhubarbhinge.web._failure import Failure
from rhubarbhinge.web._reply import Reply

IDLE_PER_ADDRESS = 4
"""Most idle connections kept to one address."""

IDLE_MS = 15_000.0
"""Longest that an idle connection is kept, in milliseconds; below most servers' own bound."""

Address = tuple[str, int]
Headers = tuple[tuple[str, str], ...]


class _Call:
    """State of one call.

    :param address: the receiver's IP address and port.
    :param arguments: method, path, body and headers of the request.
    :param end_ms: when the call times out.
    :param on_done: told the outcome.
    """

    __slots__ = ("address", "arguments", "end_ms", "on_done", "conn", "sent", "timer")

    def __init__(self, address: Address, arguments: tuple, end_ms: float, on_done: Callable):
        self.address = address
        self.arguments = arguments
        self.end_ms = end_ms
        self.on_done = on_done
        self.conn = 0
        self.sent = False
        self.timer: Subscription | None = None


class HttpClient(BaseComponent):
    """Makes calls to any address; nothing is sent twice.

    :param timers: the timer service.
    :param takes_gzip: whether servers may compress their replies, which are decoded here.
    """

    channel = "http-client"

    def __init__(self, timers: TimerService, takes_gzip: bool = False):
        super().__init__()
        self._timers = timers
        self._takes_gzip = takes_gzip
        self._numbers = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._by_conn: dict[int, int] = {}
        self._idle: dict[Address, dict[int, Subscription]] = {}
        self._addresses: dict[int, Address] = {}
        self._connections = HttpConnections(
            timers, self._opened, self._replied, self._closed, notice_silence=True
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
        """Make a call; the outcome is told later, once, unless the call is cancelled.

        :param ip: the receiver's IP address.
        :param port: the receiver's port.
        :param method: the method.
        :param path: the path with its query, percent-encoded.
        :param body: the whole body.
        :param headers: more headers.
        :param timeout_ms: longest that the call may take, connecting included.
        :param on_done: told the outcome.
        :returns: the call, to cancel it by.
        """
        number = next(self._numbers)
        end_ms = self._timers.now_ms() + timeout_ms
        call = _Call((ip, port), (method, path, body, headers), end_ms, on_done)
        self._calls[number] = call
        call.timer = self._timers.after(timeout_ms, lambda: self._expire(number))
        conn = self._take_idle(call.address)
        if conn is None:
            call.conn = self._connections.open(ip, port, timeout_ms)
            self._addresses[call.conn] = call.address
            self._by_conn[call.conn] = number
        else:
            self._by_conn[conn] = number
            self._send(conn, call)
        return number

    def cancel(self, call: int) -> None:
        """Drop a call; its outcome is not told, its connection is closed.

        :param call: the call.
        """
        found = self._calls.pop(call, None)
        if found is not None:
            found.timer.cancel()
            self._connections.close(found.conn)

    def _take_idle(self, address: Address) -> int | None:
        idle = self._idle.get(address, {})
        while idle:
            conn, timer = idle.popitem()
            timer.cancel()
            if self._connections.reusable(conn):
                return conn
        return None

    def _send(self, conn: int, call: _Call) -> None:
        call.conn = conn
        method, path, body, headers = call.arguments
        if self._takes_gzip:
            headers += ACCEPT_GZIP
        left_ms = call.end_ms - self._timers.now_ms()
        call.sent = self._connections.request(conn, method, path, body, headers, left_ms)

    def _opened(self, conn: int) -> None:
        call = self._calls.get(self._by_conn[conn])
        if call is not None:
            self._send(conn, call)

    def _replied(self, conn: int, reply: Reply) -> None:
        number = self._by_conn.pop(conn)
        self._keep(conn)
        plain = decoded(reply) if self._takes_gzip else reply
        self._finish(number, Failure(MALFORMED, True) if plain is None else plain)

    def _closed(self, conn: int, reason: str) -> None:
        address = self._addresses.pop(conn)
        self._forget_idle(address, conn)
        number = self._by_conn.pop(conn, None)
        if number is not None:
            self._fail(number, reason)

    def _keep(self, conn: int) -> None:
        idle = self._idle.setdefault(self._addresses[conn], {})
        if len(idle) >= IDLE_PER_ADDRESS or not self._connections.reusable(conn):
            self._connections.close(conn)
            return
        idle[conn] = self._timers.after(IDLE_MS, lambda: self._connections.close(conn))

    def _forget_idle(self, address: Address, conn: int) -> None:
        idle = self._idle.get(address)
        if idle is None:
            return
        timer = idle.pop(conn, None)
        if timer is not None:
            timer.cancel()
        if not idle:
            del self._idle[address]

    def _expire(self, number: int) -> None:
        call = self._calls.get(number)
        if call is not None:
            self._connections.close(call.conn)
            self._fail(number, TIMEOUT)

    def _fail(self, number: int, code: str) -> None:
        call = self._calls.get(number)
        if call is not None:
            self._finish(number, Failure(code, call.sent))

    def _finish(self, number: int, outcome: Reply | Failure) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            call.timer.cancel()
            call.on_done(outcome)
