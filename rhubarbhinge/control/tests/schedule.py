"""Runs control cores on a virtual clock, over links and a platform that can be disturbed."""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable

import orjson

from rhubarbhinge.control import (
    ControlNode,
    DisseminationSettings,
    Member,
    MembershipTimings,
    PlatformOutcome,
    PollPlatform,
    SendDatagram,
    SendPeer,
    VmNode,
)

TICK_MS = 100


def validate(key: str, data: bytes) -> tuple[bool, tuple[str, ...]]:
    return (False, ("it is bad",)) if b"bad" in data else (True, ())


def list_nodes(data: bytes) -> list[VmNode]:
    return [VmNode(*node) for node in orjson.loads(data)["nodes"]]


class Platform:
    """Published documents; each node may see them at once, as of earlier, or not at all.

    While stale it answers with old documents, whatever revision it is asked to go above.
    """

    def __init__(self) -> None:
        self.documents: dict[str, tuple[int, bytes]] = {}
        self.stale: dict[str, tuple[int, bytes]] | None = None
        self.unreachable: Callable[[str], bool] = lambda name: False
        self.calls_ms: list[int] = []

    def answer(self, key: str, after: int) -> tuple[PlatformOutcome, int, bytes]:
        documents = self.documents if self.stale is None else self.stale
        if key not in documents:
            return PlatformOutcome.MISSING, 0, b""
        revision, data = documents[key]
        if revision <= after and self.stale is None:
            return PlatformOutcome.UNCHANGED, 0, b""
        return PlatformOutcome.CHANGED, revision, data


class Schedule:
    """Virtual clock, links and platform; ``random.Random(seed)`` decides all chances."""

    def __init__(self, seed: int, settings: DisseminationSettings | None = None) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.platform = Platform()
        self.nodes: dict[str, ControlNode] = {}
        self.members: dict[str, Member] = {}
        self.effects: dict[str, list[object]] = defaultdict(list)
        self.loss = self.duplicates = 0.0
        self.delay_ms = (1, 3)
        self.cut: Callable[[Member, Member], bool] = lambda one, other: False
        self.on_effect: Callable[[str, object], None] = lambda name, effect: None
        self.timings = MembershipTimings()
        self.settings = settings or DisseminationSettings()
        self.seeds: tuple[tuple[str, int], ...] = ()
        self.node_type: type[ControlNode] = ControlNode
        self._paused_until_ms: dict[str, int] = {}
        self._by_address: dict[tuple[str, int], str] = {}
        self._watches: list[tuple[str, ControlNode, PollPlatform, int]] = []
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, member: Member) -> ControlNode:
        self.members[member.name] = member
        self._by_address[member.ip, member.peer_port] = member.name
        node = self.node_type(
            member,
            random.Random(self.rng.random()),
            validate,
            list_nodes,
            self.seeds,
            self.timings,
            self.settings,
        )
        self.nodes[member.name] = node
        self.effects[member.name].clear()
        self.at(self.now_ms + self.rng.randrange(TICK_MS), lambda: self._tick(node))
        return node

    def remove(self, name: str) -> None:
        del self.nodes[name]

    def pause(self, name: str, length_ms: int) -> None:
        self._paused_until_ms[name] = self.now_ms + length_ms

    def publish(self, key: str, revision: int, data: bytes) -> None:
        self.platform.documents[key] = (revision, data)
        watches, self._watches = self._watches, []
        for name, node, poll, expires_ms in watches:
            if poll.key == key:
                self._answer(name, node, poll)
            else:
                self._watches.append((name, node, poll, expires_ms))

    def at(self, due_ms: int, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (due_ms, self._count, action))

    def run(self, length_ms: int) -> None:
        end_ms = self.now_ms + length_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, due_ms)
            action()
        self.now_ms = end_ms

    def run_until(self, condition: Callable[[], bool], limit_ms: int, step_ms: int = 100) -> int:
        start_ms = self.now_ms
        while not condition() and self.now_ms < start_ms + limit_ms:
            self.run(step_ms)
        return self.now_ms - start_ms

    def do(self, name: str, effects: list[object]) -> None:
        node = self.nodes[name]
        for effect in effects:
            self.effects[name].append(effect)
            self.on_effect(name, effect)
            if isinstance(effect, SendDatagram):
                target = self._by_address.get((effect.ip, effect.port))
                self._send(name, target, self._datagram(name, effect))
            elif isinstance(effect, SendPeer):
                target = effect.member_name if effect.member_name in self.members else None
                self._send(name, target, self._peer_message(name, effect))
            elif isinstance(effect, PollPlatform):
                self._call(name, node, effect)

    def _tick(self, node: ControlNode) -> None:
        name = node.membership.self_member.name
        if self.nodes.get(name) is not node:
            return
        paused_ms = self._paused_until_ms.get(name, 0) - self.now_ms
        if paused_ms > 0:
            self.at(self.now_ms + paused_ms, lambda: self._tick(node))
            return
        self.do(name, node.tick(self.now_ms))
        self.at(self.now_ms + TICK_MS, lambda: self._tick(node))

    def _datagram(self, sender: str, effect: SendDatagram) -> Callable[[str], list[object]]:
        me = self.members[sender]
        return lambda name: self.nodes[name].on_datagram(
            effect.message, me.ip, me.peer_port, self.now_ms
        )

    def _peer_message(self, sender: str, effect: SendPeer) -> Callable[[str], list[object]]:
        return lambda name: self.nodes[name].on_peer(sender, effect.message, self.now_ms)

    def _send(self, sender: str, target: str | None, deliver: Callable) -> None:
        if target is None or self.rng.random() < self.loss:
            return
        if self.cut(self.members[sender], self.members[target]):
            return
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            due_ms = self.now_ms + self.rng.randint(*self.delay_ms)
            self.at(due_ms, lambda: self._deliver(target, deliver))

    def _deliver(self, target: str, deliver: Callable) -> None:
        if target not in self.nodes:
            return
        paused_until_ms = self._paused_until_ms.get(target, 0)
        if paused_until_ms > self.now_ms:
            self.at(paused_until_ms, lambda: self._deliver(target, deliver))
            return
        self.do(target, deliver(target))

    def _call(self, name: str, node: ControlNode, poll: PollPlatform) -> None:
        self.platform.calls_ms.append(self.now_ms)
        if self.platform.unreachable(name):
            self._outcome(name, node, poll, (PlatformOutcome.FAILED, 0, b""))
            return
        answer = self.platform.answer(poll.key, poll.after_revision)
        if answer[0] != PlatformOutcome.UNCHANGED or not poll.wait_ms:
            self._outcome(name, node, poll, answer)
            return
        watch = (name, node, poll, self.now_ms + poll.wait_ms)
        self._watches.append(watch)
        self.at(watch[3], lambda: self._watch_over(watch))

    def _watch_over(self, watch: tuple[str, ControlNode, PollPlatform, int]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer(*watch[:3])

    def _answer(self, name: str, node: ControlNode, poll: PollPlatform) -> None:
        answer = self.platform.answer(poll.key, poll.after_revision)
        if self.platform.unreachable(name):
            answer = (PlatformOutcome.FAILED, 0, b"")
        self._outcome(name, node, poll, answer)

    def _outcome(self, name: str, node: ControlNode, poll: PollPlatform, answer: tuple) -> None:
        def deliver(target: str) -> list[object]:
            if self.nodes[target] is not node:
                return []
            return node.on_platform(poll.key, *answer, self.now_ms)

        self.at(self.now_ms + self.rng.randint(1, 3), lambda: self._deliver(name, deliver))


def member(vm: int, role: str, domain: str, incarnation: int = 1) -> Member:
    port = 7001 if role == "entry" else 7002
    ip = f"10.0.{vm // 250}.{vm % 250 + 1}"
    return Member(f"{domain}-{vm}/{role}", role, domain, ip, port, incarnation, "alive")


def fleet(count: int, domains: int) -> list[Member]:
    roles = ("entry", "relay")
    names = [f"kgn-{letter}" for letter in "abcdefgh"[:domains]]
    return [member(i // 2, roles[i % 2], names[i // 2 % domains]) for i in range(count)]


def vms_document(members: list[Member], revision: int = 1) -> bytes:
    nodes = [(m.name, m.role, m.failure_domain, m.ip, m.peer_port, 8000, "live") for m in members]
    return orjson.dumps({"revision": revision, "nodes": nodes})
