"""Links between simulated entries, which lose, delay and cut what they carry."""

import itertools
import random
from collections import deque
from collections.abc import Callable

from rhubarbhinge.net import CloseReason
from rhubarbhinge.timing import TimerHandle
from rhubarbhinge.utils.fake_timers import FakeTimers

LEAST_NET_MS, MOST_NET_MS = 0.2, 3.0
SILENCE_MS = 400.0
"""Silence after which a link's end is told, as on real sockets."""


class Troubles:
    """How often what goes wrong.

    :param rng: draws them.
    """

    def __init__(self, rng: random.Random):
        def often(*shares: float) -> float:
            return rng.choice(shares)

        self.slow_message = often(0.0, 0.05, 0.3)
        self.cut = often(0.0, 0.02, 0.1)
        self.reset = often(0.0, 0.02, 0.1)
        self.pause = often(0.0, 0.02, 0.1)
        self.refuse = often(0.0, 0.2, 0.6)
        self.fail = often(0.0, 0.1, 0.4)
        self.lose = often(0.0, 0.1, 0.4)
        self.hang = often(0.0, 0.1, 0.4)
        self.unreachable = often(0.0, 0.05, 0.3)
        self.queued = often(0.0, 0.2, 0.6)


class HostTimers:
    """Timers of one entry, which stand still while it is paused.

    :param timers: the time of all.
    """

    def __init__(self, timers: FakeTimers):
        self._timers = timers
        self.paused_until_ms = 0.0
        self.now_ms = timers.now_ms
        self._held: deque[TimerHandle] = deque()

    def after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        subscription = TimerHandle(callback, None, lambda: None)
        self._timers.after(delay_ms, lambda: self._run(subscription))
        return subscription

    def _run(self, subscription: TimerHandle) -> None:
        if not subscription.active:
            return
        left_ms = self.paused_until_ms - self.now_ms()
        if self._held or left_ms > 0:
            # What comes in a pause is taken in its order when the pause is over.
            if not self._held:
                self._timers.after(left_ms, self._resume)
            self._held.append(subscription)
            return
        subscription.active = False
        subscription.callback()

    def _resume(self) -> None:
        left_ms = self.paused_until_ms - self.now_ms()
        if left_ms > 0:
            self._timers.after(left_ms, self._resume)
            return
        while self._held:
            subscription = self._held.popleft()
            if subscription.active:
                subscription.active = False
                subscription.callback()


class _Connection:
    """One connection between two entries."""

    def __init__(self, ends: tuple["_End", "_End"]):
        self.ends = ends
        self.is_open = True
        self.cut_from: set[_End] = set()
        self.free_ms = dict.fromkeys(ends, 0.0)
        self.waiting: dict[_End, deque[bytes]] = {end: deque() for end in ends}


class _End:
    """One end of a connection."""

    def __init__(self, links: "SimulatedLinks", number: int):
        self.links = links
        self.number = number


class Network:
    """Carries what entries send one another, in order on each connection.

    :param timers: the time of all.
    :param rng: draws delays and faults.
    :param troubles: how often what goes wrong.
    """

    def __init__(self, timers: FakeTimers, rng: random.Random, troubles: Troubles):
        self.timers = timers
        self.rng = rng
        self.troubles = troubles
        self.servers: dict[str, SimulatedLinks] = {}

    def delay_ms(self) -> float:
        if self.rng.random() < self.troubles.slow_message:
            return self.rng.uniform(20.0, 400.0)
        return self.rng.uniform(LEAST_NET_MS, MOST_NET_MS)

    def deliver(self, conn: _Connection, sender: _End, data: bytes) -> None:
        """Carry bytes, after all that was sent before on the same way."""
        if self.rng.random() < self.troubles.reset:
            self.timers.after(self.delay_ms(), lambda: self.end(conn, CloseReason.RESET))
        if self.rng.random() < self.troubles.cut and sender not in conn.cut_from:
            conn.cut_from.add(sender)
            self.timers.after(SILENCE_MS, lambda: self._notice_cut(conn, sender))
        if sender in conn.cut_from:
            return
        receiver = conn.ends[1] if sender is conn.ends[0] else conn.ends[0]
        conn.waiting[receiver].append(data)
        at_ms = max(conn.free_ms[sender], self.timers.now_ms() + self.delay_ms())
        conn.free_ms[sender] = at_ms
        delay_ms = at_ms - self.timers.now_ms()
        self.timers.after(delay_ms, lambda: self._arrive(conn, receiver))

    def _arrive(self, conn: _Connection, receiver: _End) -> None:
        def take() -> None:
            data = conn.waiting[receiver].popleft()
            if conn.is_open and receiver.number in receiver.links.conns:
                receiver.links.on_data(receiver.number, data)

        receiver.links.timers.after(0.0, take)

    def _notice_cut(self, conn: _Connection, sender: _End) -> None:
        # The other end goes on as if nothing were: its own bytes may still be acknowledged.
        sender.links.closed(sender.number, CloseReason.SILENT)

    def end(self, conn: _Connection, reason: CloseReason) -> None:
        for end in conn.ends:
            end.links.closed(end.number, reason)
        conn.is_open = False


class SimulatedLinks:
    """Links of one entry on a simulated network, in the place of real ones.

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
