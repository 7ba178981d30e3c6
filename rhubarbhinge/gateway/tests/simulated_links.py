"""Simulated links between entries, with losses, delays and disconnections."""

import itertools
import random
from collections import deque
from collections.abc import Callable

from rhubarbhinge.net import CloseReason
from rhubarbhinge.timing import TimerHandle
from rhubarbhinge.utils.fake_timers import FakeTimers

MIN_DELAY_MS, MAX_DELAY_MS = 0.2, 3.0
SILENCE_MS = 400.0
"""Silence after which a link is reported closed, as on real sockets."""


class FaultRates:
    """Randomly chosen probabilities of faults.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random):
        def choose(*shares: float) -> float:
            return rng.choice(shares)

        self.slow_message = choose(0.0, 0.05, 0.3)
        self.cut = choose(0.0, 0.02, 0.1)
        self.reset = choose(0.0, 0.02, 0.1)
        self.pause = choose(0.0, 0.02, 0.1)
        self.refuse = choose(0.0, 0.2, 0.6)
        self.fail = choose(0.0, 0.1, 0.4)
        self.drop_reply = choose(0.0, 0.1, 0.4)
        self.hang = choose(0.0, 0.1, 0.4)
        self.unreachable = choose(0.0, 0.05, 0.3)
        self.queued = choose(0.0, 0.2, 0.6)


class HostTimers:
    """Timers of one entry, whose callbacks are deferred while the entry is paused.

    :param timers: timers of the simulation.
    """

    def __init__(self, timers: FakeTimers):
        self._timers = timers
        self.paused_until_ms = 0.0
        self.now_ms = timers.now_ms
        self._deferred: deque[TimerHandle] = deque()

    def after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        handle = TimerHandle(callback, None, lambda: None)
        self._timers.after(delay_ms, lambda: self._run(handle))
        return handle

    def _run(self, handle: TimerHandle) -> None:
        if not handle.active:
            return
        left_ms = self.paused_until_ms - self.now_ms()
        if self._deferred or left_ms > 0:
            # Callbacks that are due during a pause run in order after it.
            if not self._deferred:
                self._timers.after(left_ms, self._resume)
            self._deferred.append(handle)
            return
        handle.active = False
        handle.callback()

    def _resume(self) -> None:
        left_ms = self.paused_until_ms - self.now_ms()
        if left_ms > 0:
            self._timers.after(left_ms, self._resume)
            return
        while self._deferred:
            handle = self._deferred.popleft()
            if handle.active:
                handle.active = False
                handle.callback()


class _Connection:
    """One connection between two entries."""

    def __init__(self, ends: tuple["_End", "_End"]):
        self.ends = ends
        self.is_open = True
        self.severed_from: set[_End] = set()
        self.next_arrival_ms = dict.fromkeys(ends, 0.0)
        self.in_transit: dict[_End, deque[bytes]] = {end: deque() for end in ends}


class _End:
    """One end of a connection."""

    def __init__(self, links: "SimulatedLinks", number: int):
        self.links = links
        self.number = number


class Network:
    """Delivers messages between entries, in order on each connection.

    :param timers: timers of the simulation.
    :param rng: source of delays and faults.
    :param faults: probabilities of faults.
    """

    def __init__(self, timers: FakeTimers, rng: random.Random, faults: FaultRates):
        self.timers = timers
        self.rng = rng
        self.faults = faults
        self.servers: dict[str, SimulatedLinks] = {}

    def delay_ms(self) -> float:
        if self.rng.random() < self.faults.slow_message:
            return self.rng.uniform(20.0, 400.0)
        return self.rng.uniform(MIN_DELAY_MS, MAX_DELAY_MS)

    def deliver(self, conn: _Connection, sender: _End, data: bytes) -> None:
        """Deliver bytes after everything sent earlier in the same direction."""
        if self.rng.random() < self.faults.reset:
            self.timers.after(self.delay_ms(), lambda: self.end(conn, CloseReason.RESET))
        if self.rng.random() < self.faults.cut and sender not in conn.severed_from:
            conn.severed_from.add(sender)
            self.timers.after(SILENCE_MS, lambda: self._notice_cut(conn, sender))
        if sender in conn.severed_from:
            return
        receiver = conn.ends[1] if sender is conn.ends[0] else conn.ends[0]
        conn.in_transit[receiver].append(data)
        at_ms = max(conn.next_arrival_ms[sender], self.timers.now_ms() + self.delay_ms())
        conn.next_arrival_ms[sender] = at_ms
        delay_ms = at_ms - self.timers.now_ms()
        self.timers.after(delay_ms, lambda: self._arrive(conn, receiver))

    def _arrive(self, conn: _Connection, receiver: _End) -> None:
        def take() -> None:
            data = conn.in_transit[receiver].popleft()
            if conn.is_open and receiver.number in receiver.links.conns:
                receiver.links.on_data(receiver.number, data)

        receiver.links.timers.after(0.0, take)

    def _notice_cut(self, conn: _Connection, sender: _End) -> None:
        # The other end notices nothing, as its own bytes may still be acknowledged.
        sender.links.closed(sender.number, CloseReason.SILENT)

    def end(self, conn: _Connection, reason: CloseReason) -> None:
        for end in conn.ends:
            end.links.closed(end.number, reason)
        conn.is_open = False


class SimulatedLinks:
    """Replacement of the links of one entry, on a simulated network.

    :param network: the network.
    :param ip: address of the entry.
    :param timers: the entry's timers.
    """

    def __init__(self, network, ip, timers, on_open, on_data, on_close, bind=None, **_):
        self.network, self.ip, self.timers = network, ip, timers
        self.on_open, self.on_data, self.on_close = on_open, on_data, on_close
        self.numbers = itertools.count(1)
        self.conns: dict[int, tuple[_Connection, _End]] = {}
        self.sent_bytes = self.pending_bytes = 0
        if bind is not None:
            network.servers[ip] = self

    def register(self, parent: object) -> "SimulatedLinks":
        return self

    def open(self, ip: str, port: int, timeout_ms: float) -> int:
        server = self.network.servers[ip]
        near, far = _End(self, next(self.numbers)), _End(server, next(server.numbers))
        conn = _Connection((near, far))
        self.conns[near.number] = (conn, near)
        server.conns[far.number] = (conn, far)
        server.timers.after(1.0, lambda: server.on_open(far.number, True))
        self.timers.after(2.0, lambda: self.on_open(near.number, False))
        return near.number

    def send(self, link: int, data: bytes) -> None:
        if link in self.conns:
            self.network.deliver(*self.conns[link], data)

    def unsent_bytes(self, link: int) -> int:
        return 0

    def flush(self, link: int) -> None:
        pass

    def abort(self, link: int) -> None:
        conn, _ = self.conns[link]
        self.network.end(conn, CloseReason.RESET)

    def closed(self, link: int, reason: CloseReason) -> None:
        if self.conns.pop(link, None) is not None:
            self.timers.after(0.0, lambda: self.on_close(link, reason))
