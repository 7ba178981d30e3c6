"""A network in simulated time whose open connections can fall silent, be reset or be cut."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote, urlsplit

from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.web import TIMEOUT, Reply, Request, Responder, Response

DELAY_MS = 1.0
"""One-way delay."""
DATAGRAM_LOSS = 0.01
"""Share of the datagrams that are lost."""
Address = tuple[str, int]


@dataclass(eq=False)
class Connection:
    """A connection, as both ends and the network see it.

    :param client: IP address of the client.
    :param server: IP address and port of the server.
    :param on_reset: called when the network or the server's host resets it.
    :ivar is_silent: whether nothing arrives any more, in either direction.
    """

    client: str
    server: Address
    on_reset: Callable[[], None]
    is_silent: bool = False


@dataclass
class Network:
    """Delivers messages between hosts.

    :param timers: the simulated time.
    :param rng: draws the datagrams that are lost.
    :ivar servers: called with the connection, the request and its responder, by address.
    :ivar receivers: called with the sender's address and the datagram, by address.
    :ivar cuts: pairs of hosts between which nothing arrives.
    :ivar connections: the open connections.
    """

    timers: FakeTimers
    rng: random.Random
    servers: dict[Address, Callable[[Connection, Request, Responder], None]] = field(
        default_factory=dict
    )
    receivers: dict[Address, Callable[[str, int, bytes], None]] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    connections: set[Connection] = field(default_factory=set)

    def is_cut(self, one: str, other: str) -> bool:
        """Check whether nothing arrives between two hosts."""
        return frozenset((one, other)) in self.cuts

    def silence(self, *hosts: str) -> None:
        """Make open connections silent that have both ends at the hosts; all if none are given."""
        for connection in self.connections:
            if not hosts or {connection.client, connection.server[0]} <= set(hosts):
                connection.is_silent = True

    def reset(self, host: str) -> None:
        """Reset all connections of a host."""
        for connection in list(self.connections):
            if host in (connection.client, connection.server[0]):
                connection.on_reset()

    def send(self, connection: Connection, to_server: bool, deliver: Callable[[], None]) -> None:
        """Deliver a message of a connection, unless the connection loses it."""

        def arrive() -> None:
            is_open = connection in self.connections and not connection.is_silent
            if is_open and not self.is_cut(connection.client, connection.server[0]):
                deliver()
            elif not to_server or is_open:
                # What a cut has swallowed is missing on the connection from then on.
                connection.is_silent = True

        self.timers.after(DELAY_MS, arrive)

    def send_datagram(self, sender: Address, receiver: Address, data: bytes) -> None:
        """Deliver a datagram, unless it is lost."""
        lost = self.rng.random() < DATAGRAM_LOSS or self.is_cut(sender[0], receiver[0])
        if not lost and receiver in self.receivers:
            self.timers.after(
                DELAY_MS, lambda: self.receivers.get(receiver, _ignore)(*sender, data)
            )


class SimulatedConnections:
    """Replaces :class:`~rhubarbhinge.web.HttpConnections` of a host.

    :param network: the network.
    :param host: IP address of the host.
    """

    def __init__(self, network, host, timers, on_open, on_reply, on_close, detect_dead_peers):
        self._network = network
        self._host = host
        self._timers = timers
        self._on_open, self._on_reply, self._on_close = on_open, on_reply, on_close
        self._numbers = itertools.count(1)
        self._open: dict[int, Connection] = {}
        self._pending: dict[int, object] = {}

    def register(self, parent: object) -> "SimulatedConnections":
        return self

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        number = next(self._numbers)
        connection = Connection(self._host, (ip, port), lambda: self._close(number, "reset"))
        self._open[number] = connection
        if self._network.is_cut(self._host, ip):
            self._timers.after(timeout_ms, lambda: self._close(number, "connect-timeout"))
        else:
            self._timers.after(2 * DELAY_MS, lambda: self._opened(number))
        return number

    def _opened(self, number: int) -> None:
        connection = self._open.get(number)
        if connection is None:
            return
        if connection.server not in self._network.servers:
            self._close(number, "refused")
            return
        self._network.connections.add(connection)
        self._on_open(number)

    def request(self, number, method, path, body, headers=(), timeout_ms=30_000.0) -> bool:
        connection = self._open[number]
        token = self._pending[number] = object()
        self._timers.after(timeout_ms, lambda: self._expire(number, token))
        parts = urlsplit(path)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        request = Request(method, unquote(parts.path), query, {}, body, self._host)

        def receive(response: Response) -> None:
            if self._pending.get(number) is token:
                del self._pending[number]
                reply_headers = {name.lower(): value for name, value in response.headers}
                self._on_reply(number, Reply(response.status, reply_headers, response.body))

        def answer(response: Response) -> None:
            self._network.send(connection, False, lambda: receive(response))

        def arrive() -> None:
            server = self._network.servers.get(connection.server)
            if server is not None:
                server(connection, request, Responder(answer))

        self._network.send(connection, True, arrive)
        return True

    def _expire(self, number: int, token: object) -> None:
        if self._pending.get(number) is token:
            self._close(number, TIMEOUT)

    def close(self, number: int) -> None:
        self._timers.after(0.0, lambda: self._close(number, "local"))

    def reusable(self, number: int) -> bool:
        return number in self._open and number not in self._pending

    def _close(self, number: int, reason: str) -> None:
        connection = self._open.pop(number, None)
        if connection is not None:
            self._pending.pop(number, None)
            self._network.connections.discard(connection)
            self._on_close(number, reason)


class SimulatedServer:
    """Replaces :class:`~rhubarbhinge.web.HttpServer` of a host.

    :param network: the network.
    """

    sent_bytes = 0

    def __init__(self, network, timers, handle, bind):
        network.servers[bind] = lambda connection, request, responder: handle(request, responder)

    def register(self, parent: object) -> "SimulatedServer":
        return self


class SimulatedDatagrams:
    """Replaces :class:`~rhubarbhinge.net.Datagrams` of a host.

    :param network: the network.
    """

    def __init__(self, network, on_datagram, bind):
        self._network = network
        self._bind = bind
        network.receivers[bind] = on_datagram

    def register(self, parent: object) -> "SimulatedDatagrams":
        return self

    def send(self, ip: str, port: int, data: bytes) -> None:
        self._network.send_datagram(self._bind, (ip, port), data)


def _ignore(ip: str, port: int, data: bytes) -> None:
    pass
