"""Simulated fleet: many memberships on one simulated clock and network."""

import itertools
import random
from collections import Counter
from collections.abc import Callable

from rhubarbhinge.members import (
    Heartbeat,
    Member,
    Membership,
    PublishedStatus,
    TableSync,
    encode_heartbeat,
)
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision

LINK_DELAY_MS = (1.0, 3.0)
UDP_BYTES = 28
LIST_BYTES_PER_MEMBER = 70


class Node:
    """One simulated process.

    :param fleet: the fleet.
    :param name: name of its VM.
    :param domain: its failure domain.
    :param ip: its IP address.
    :param seeds: IP addresses of its seeds.
    """

    def __init__(self, fleet: "Fleet", name: str, domain: str, ip: str, seeds: tuple[str, ...]):
        self.fleet = fleet
        self.name, self.domain, self.ip = name, domain, ip
        self.running = True
        self.frozen = False
        self._held: list[Callable[[], None]] = []
        rng = random.Random(fleet.rng.getrandbits(64))
        me = Member(name, ip, domain, fleet.rng.getrandbits(32))
        self.membership = Membership(
            self, me, seeds, rng, self._send, lambda: PublishedStatus(make_revision(1), 0.0)
        )
        self.sync = TableSync(self.now_ms, self._fetch)

    def now_ms(self) -> float:
        return self.fleet.clock.now_ms()

    def after(self, delay_ms: float, callback: Callable[[], None]):
        return self.fleet.clock.after(delay_ms, lambda: self.run(callback))

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback unless the process is killed; postponed while it is frozen."""
        if self.frozen:
            self._held.append(callback)
        elif self.running:
            callback()

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        self.membership.on_pause()
        held, self._held = self._held, []
        for callback in held:
            self.run(callback)

    def kill(self) -> None:
        self.running = False
        if self.fleet.by_ip.get(self.ip) is self:
            del self.fleet.by_ip[self.ip]

    def receive(self, heartbeat: Heartbeat, ip: str) -> None:
        membership = self.membership
        membership.on_heartbeat(heartbeat, ip)
        if heartbeat.name != membership.me.name:
            equal = heartbeat.members_digest == membership.digest
            self.sync.on_digest(ip, heartbeat.failure_domain, equal)

    def live_names(self) -> set[str]:
        return {member.name for member in self.membership.all_live()} | {self.name}

    def _send(self, ip: str, heartbeat: Heartbeat) -> None:
        self.fleet.transmit(self, ip, heartbeat)

    def _fetch(self, ip: str) -> None:
        other = self.fleet.by_ip.get(ip)
        if other is None or other.frozen or not self.fleet.connected(self.ip, ip):
            self.after(1_000.0, lambda: self.sync.on_fetched(False))
            return
        members = [*other.membership.table.all(), other.membership.me]
        self.fleet.count_bytes(other, self, LIST_BYTES_PER_MEMBER * len(members))

        def fetched() -> None:
            self.membership.on_members(members)
            self.sync.on_fetched(True)

        self.after(4.0, fetched)


class Fleet:
    """Simulated processes on one clock and one network.

    :param domains: names of the VMs of each failure domain.
    :param seed: seed of the random numbers.
    """

    def __init__(self, domains: dict[str, list[str]], seed: int = 1):
        self.rng = random.Random(seed)
        self.clock = FakeTimers()
        self.by_ip: dict[str, Node] = {}
        self.nodes: dict[str, Node] = {}
        self.sent_bytes: Counter[str] = Counter()
        self.sent_datagrams: Counter[str] = Counter()
        self.cross_domain_bytes = 0
        self.loss = 0.0
        self.duplicates = 0.0
        self.is_blocked: Callable[[str, str], bool] = lambda from_ip, to_ip: False
        self._ips: dict[str, str] = {}
        self.domains = domains
        numbers = itertools.count(1)
        for name in itertools.chain(*domains.values()):
            number = next(numbers)
            self._ips[name] = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        names = list(self._ips)
        step = max(1, len(names) // 3)
        self.seeds = tuple(self._ips[name] for name in names[::step][:3])

    def start(self, name: str) -> Node:
        domain = next(one for one, names in self.domains.items() if name in names)
        node = Node(self, name, domain, self._ips[name], self.seeds)
        self.nodes[name] = node
        self.by_ip[node.ip] = node
        node.membership.start()
        return node

    def start_all(self) -> None:
        for name in self._ips:
            self.clock.after(self.rng.uniform(0.0, 300.0), lambda name=name: self.start(name))

    def advance(self, duration_ms: float) -> None:
        self.clock.advance(duration_ms)

    def reset_counters(self) -> None:
        self.sent_bytes.clear()
        self.sent_datagrams.clear()
        self.cross_domain_bytes = 0

    def connected(self, from_ip: str, to_ip: str) -> bool:
        return not self.is_blocked(from_ip, to_ip) and not self.is_blocked(to_ip, from_ip)

    def count_bytes(self, sender: Node, receiver: Node | None, size: int) -> None:
        self.sent_bytes[sender.name] += size
        if receiver is not None and receiver.domain != sender.domain:
            self.cross_domain_bytes += size

    def transmit(self, sender: Node, ip: str, heartbeat: Heartbeat) -> None:
        receiver = self.by_ip.get(ip)
        self.sent_datagrams[sender.name] += 1
        self.count_bytes(sender, receiver, len(encode_heartbeat(heartbeat)) + UDP_BYTES)
        copies = 1 + (self.rng.random() < self.duplicates)
        for _ in range(copies):
            if receiver is None or self.rng.random() < self.loss or self.is_blocked(sender.ip, ip):
                continue

            def deliver(to: Node = receiver) -> None:
                to.run(lambda: to.receive(heartbeat, sender.ip))

            self.clock.after(self.rng.uniform(*LINK_DELAY_MS), deliver)


def even_domains(members: int, domains: int = 4) -> dict[str, list[str]]:
    """Distribute VMs evenly over failure domains."""
    named: dict[str, list[str]] = {f"hall-{number}": [] for number in range(domains)}
    for number in range(members):
        domain = f"hall-{number % domains}"
        named[domain].append(f"vm-{domain}-{number:05d}")
    return named
