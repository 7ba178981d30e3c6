"""Measure the control cores by size of the fleet; prints JSON Lines.

Cores run in one process on a virtual clock. Bytes are the estimate of ``message_bytes``, an upper
bound on the encoded length without TCP and UDP headers. CPU is the time within the cores, without
codec and sockets.
"""

import random
import sys
import time
import tracemalloc
import zlib
from collections import Counter
from dataclasses import replace

import orjson

from rhubarbhinge.control import (
    ControlNode,
    Member,
    SendDatagram,
    SendPeer,
    message_bytes,
)
from rhubarbhinge.control._delta import apply_delta, encode_delta
from rhubarbhinge.control._update_queue import UpdateQueue
from rhubarbhinge.control.tests.schedule import (
    Schedule,
    fleet,
    list_nodes,
    validate,
    vms_document,
)
from rhubarbhinge.wire._probe import Probe
from rhubarbhinge.wire._probe_ack import ProbeAck

SIZES = ((2, 1), (8, 4), (16, 4), (50, 4), (100, 4), (200, 4))
CALLS_NODES, CALLS_DOMAINS, CALLS_MS = 60, 4, 120_000
DOMAIN_SETTLE_MS = 4_000
HEAL_LIMIT_NODES = 100
CHANGE_MS = 3_756  # 23,000 changes a day
CHANGES = 5
REGISTER_UPSTREAMS = 200
LARGE_REGISTER_UPSTREAMS = 5_000
TARGET_NODES = 7_900
TARGET_DOMAINS = 7
TARGET_SECONDS = 60
EVENT_NODES, EVENT_DOMAINS = 50, 4
CHANGE_PERIODS_MS = (CHANGE_MS, 1_000, 250)
LOST_NODES = (1, 5, 12)
LOST_LIMIT_MS = 60_000
CHURN_MS = 24_000  # three claims (dead, new life, alive) for each of 8,200 restarts a day


class TimedNode(ControlNode):
    """Control node that adds up the time within its inputs."""

    cpu_s = 0.0

    def tick(self, now_ms: int) -> list[object]:
        """Time :meth:`ControlNode.tick`."""
        return _timed(super().tick, now_ms)

    def on_datagram(self, message: object, ip: str, port: int, now_ms: int) -> list[object]:
        """Time :meth:`ControlNode.on_datagram`."""
        return _timed(super().on_datagram, message, ip, port, now_ms)

    def on_peer(self, member_name: str, message: object, now_ms: int) -> list[object]:
        """Time :meth:`ControlNode.on_peer`."""
        return _timed(super().on_peer, member_name, message, now_ms)

    def on_platform(self, *answer: object) -> list[object]:
        """Time :meth:`ControlNode.on_platform`."""
        return _timed(super().on_platform, *answer)


def main() -> int:
    """Run all measurements, or those named on the command line.

    :returns: 0.
    """
    measures = {
        "delta": measure_deltas,
        "target": measure_target_tables,
        "fleet": measure_fleets,
        "domain": measure_domain,
        "calls": measure_calls,
        "changes": measure_changes,
        "lost": measure_lost,
    }
    for name in sys.argv[1:] or ("delta", "target", "fleet"):
        measures[name]()
    return 0


def measure_fleets() -> None:
    """Print one line for each size of the fleet."""
    for nodes, domains in SIZES:
        _print(_measure_fleet(nodes, domains))


def measure_domain() -> None:
    """Print how fast a change reaches a failure domain of the target's size.

    The nodes know each other and hold the first revision from the start; takes a minute or two.
    """
    nodes = TARGET_NODES // TARGET_DOMAINS
    schedule = Schedule(1)
    schedule.node_type = TimedNode
    for one in fleet(nodes, 1):
        schedule.add(one)
    base = {"register": register(REGISTER_UPSTREAMS, 1), "rules": b"{}"}
    schedule.platform.documents = {key: (1, data) for key, data in base.items()}
    for node in schedule.nodes.values():
        _teach(node, list(schedule.members.values()), 0)
        node.dissemination._reader.on_contact(1, 0, 0)
        for key, data in base.items():
            node.on_platform(key, "changed", 1, data, 0)
    schedule.run(DOMAIN_SETTLE_MS)
    lags = sorted(_change(schedule, 2))
    line = {"measure": "domain", "nodes": nodes, "in_force_p50_ms": lags[nodes // 2]}
    _print(line | {"in_force_p99_ms": lags[nodes * 99 // 100], "in_force_max_ms": lags[-1]})


def measure_calls() -> None:
    """Print the platform calls of a fleet at rest, once the calls of its start are over."""
    schedule, _ = _start_fleet(CALLS_NODES, CALLS_DOMAINS)
    schedule.run(CALLS_MS)
    before = len(schedule.platform.calls_ms)
    schedule.run(CALLS_MS)
    calls = len(schedule.platform.calls_ms) - before
    readers = sum(node.dissemination.is_reader for node in schedule.nodes.values())
    line = {"measure": "calls", "nodes": CALLS_NODES, "readers": readers}
    _print(line | {"platform_calls_per_s": round(1_000 * calls / CALLS_MS, 2)})


def measure_changes() -> None:
    """Print one line for each rate of changes, at one size of the fleet."""
    for change_ms in CHANGE_PERIODS_MS:
        line = _measure_fleet(EVENT_NODES, EVENT_DOMAINS, change_ms, heals=False)
        _print(line | {"measure": "changes", "changes_per_s": round(1_000 / change_ms, 3)})


def measure_lost() -> None:
    """Print how long all others take to drop members that are lost at once."""
    for count in LOST_NODES:
        schedule, _ = _start_fleet(EVENT_NODES, EVENT_DOMAINS)
        schedule.run_until(lambda s=schedule: _all(s, lambda n: n.ready()), 20_000)
        _acquaint(schedule)
        schedule.run(2_000)
        gone = set(schedule.rng.sample(sorted(schedule.nodes), count))
        for name in gone:
            schedule.remove(name)
        took_ms = schedule.run_until(lambda s=schedule, g=gone: _dropped(s, g), LOST_LIMIT_MS)
        _print({"measure": "lost", "nodes": EVENT_NODES, "lost": count, "dropped_ms": took_ms})


def measure_deltas() -> None:
    """Print the length and cost of ways to send a changed register."""
    for upstreams in (REGISTER_UPSTREAMS, LARGE_REGISTER_UPSTREAMS):
        base = register(upstreams, 1)
        changes = {
            "one leaving": register(upstreams, 2, leaving={upstreams // 2}),
            "one added": register(upstreams + 1, 2),
            "one in ten": register(upstreams, 2, leaving=set(range(0, upstreams, 10))),
        }
        for change, target in changes.items():
            _print(_measure_delta(change, base, target))


def measure_target_tables() -> None:
    """Print memory and CPU of one node with tables as at the target's size."""
    domain_nodes = TARGET_NODES // TARGET_DOMAINS
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    schedule, node, others = _target_node()
    bytes_held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    sent = Counter()
    TimedNode.cpu_s = 0.0
    for _ in range(TARGET_SECONDS * 10):
        schedule.now_ms += 100
        _exchange(schedule, node, others, sent)
    _print(
        {
            "measure": "target tables",
            "nodes": TARGET_NODES,
            "members_followed": len(node.membership.members()),
            "domain_nodes": domain_nodes,
            "memory_bytes": bytes_held,
            "datagram_bytes_per_s": round(sent["bytes"] / TARGET_SECONDS),
            "datagrams_per_s": round(sent["messages"] / TARGET_SECONDS, 1),
            "cpu_us_per_s": round(1e6 * TimedNode.cpu_s / TARGET_SECONDS),
        }
    )


def register(upstreams: int, revision: int, leaving: set[int] = frozenset()) -> bytes:
    """Make an asset register.

    :param upstreams: how many upstreams it lists.
    :param revision: its revision.
    :param leaving: numbers of the upstreams that are leaving.
    :returns: the document.
    """
    listed = [
        {
            "name": f"outage-search-desk-{i // 2:04}-{'ab'[i % 2]}",
            "system": "outage-search-desk",
            "instance": f"outage-search-desk-{i // 2:04}",
            "failure_domain": f"kgn-{'abc'[i // 2 % 3]}",
            "ip": f"10.1.{i // 250}.{i % 250}",
            "port": 9001 + i % 2,
            "leaving": i in leaving,
        }
        for i in range(upstreams)
    ]
    shards = [
        {"lo": i * 64, "hi": i * 64 + 64, "upstreams": [listed[i % upstreams]["name"]]}
        for i in range(1_024 if upstreams > 1_000 else 64)
    ]
    return orjson.dumps(
        {
            "revision": revision,
            "tenant": "kingston",
            "upstreams": listed,
            "collections": [{"name": "overhauls", "shards": shards}],
        }
    )


def _timed(call, *arguments):
    start_s = time.perf_counter()
    result = call(*arguments)
    TimedNode.cpu_s += time.perf_counter() - start_s
    return result


def _measure_delta(change: str, base: bytes, target: bytes) -> dict:
    start_s = time.perf_counter()
    delta = encode_delta(base, target)
    encoded_s = time.perf_counter()
    assert apply_delta(base, delta) == target
    applied_s = time.perf_counter()
    whole = zlib.compress(target, 6)
    compressed_s = time.perf_counter()
    return {
        "measure": "delta",
        "change": change,
        "document_bytes": len(target),
        "whole_zlib_bytes": len(whole),
        "preset_dictionary_bytes": len(_with_dictionary(base, target)),
        "trimmed_ends_bytes": len(_trimmed(base, target)),
        "pieces_bytes": len(delta),
        "pieces_encode_ms": round(1_000 * (encoded_s - start_s), 2),
        "pieces_apply_ms": round(1_000 * (applied_s - encoded_s), 2),
        "whole_zlib_ms": round(1_000 * (compressed_s - applied_s), 2),
    }


def _with_dictionary(base: bytes, target: bytes) -> bytes:
    stream = zlib.compressobj(6, zdict=base[-32_768:])
    return stream.compress(target) + stream.flush()


def _trimmed(base: bytes, target: bytes) -> bytes:
    shortest = min(len(base), len(target))
    head = next((i for i in range(shortest) if base[i] != target[i]), shortest)
    rest = shortest - head
    tail = next((i for i in range(rest) if base[-1 - i] != target[-1 - i]), rest)
    return zlib.compress(target[head : len(target) - tail], 6)


def _dropped(schedule: Schedule, gone: set[str]) -> bool:
    return all(
        gone.isdisjoint(member.name for member in node.membership.live())
        for node in schedule.nodes.values()
    )


def _measure_fleet(
    nodes: int, domains: int, change_ms: int = CHANGE_MS, heals: bool = True
) -> dict:
    schedule, sent = _start_fleet(nodes, domains)
    ready_ms = schedule.run_until(lambda: _all(schedule, lambda n: n.ready()), 20_000)
    _acquaint(schedule)
    schedule.run(2_000)
    sent.clear()
    calls = len(schedule.platform.calls_ms)
    start_ms = schedule.now_ms
    TimedNode.cpu_s = 0.0
    lags = []
    for change in range(CHANGES):
        lags += _change(schedule, change + 2, change_ms)
    node_s = nodes * (schedule.now_ms - start_ms) / 1_000
    calls = len(schedule.platform.calls_ms) - calls
    cpu_s = TimedNode.cpu_s
    lags.sort()
    heals = heals and 1 < domains and nodes <= HEAL_LIMIT_NODES
    return {
        "measure": "fleet",
        "nodes": nodes,
        "domains": domains,
        "ready_ms": ready_ms,
        "datagrams_per_s": round(sent["datagrams"] / node_s, 1),
        "datagram_bytes_per_s": round(sent[SendDatagram] / node_s),
        "peer_bytes_per_s": round(sent[SendPeer] / node_s),
        "cpu_us_per_s": round(1e6 * cpu_s / node_s),
        "platform_calls_per_s": round(1_000 * calls / (schedule.now_ms - start_ms), 2),
        "in_force_p50_ms": lags[len(lags) // 2],
        "in_force_max_ms": lags[-1],
        "heal_ms": _heal(schedule) if heals else None,
        "memory_bytes": _memory(nodes, domains),
    }


def _start_fleet(nodes: int, domains: int) -> tuple[Schedule, Counter]:
    schedule = Schedule(nodes)
    schedule.node_type = TimedNode
    members = fleet(nodes, domains)
    schedule.seeds = tuple((m.ip, m.peer_port) for m in members[:6])
    schedule.platform.documents = {
        "register": (1, register(REGISTER_UPSTREAMS, 1)),
        "rules": (1, b"{}"),
        "vms": (1, vms_document(members)),
    }
    sent = Counter()

    def count(name: str, effect: object) -> None:
        if isinstance(effect, (SendDatagram, SendPeer)):
            sent[type(effect)] += message_bytes(effect.message)
            sent["datagrams"] += isinstance(effect, SendDatagram)

    schedule.on_effect = count
    for one in members:
        schedule.add(one)
    return schedule, sent


def _acquaint(schedule: Schedule) -> None:
    """Let all know all without the gossip of a mass start, which would drown the steady state."""
    for node in schedule.nodes.values():
        _teach(node, list(schedule.members.values()), schedule.now_ms)


def _teach(node: ControlNode, members: list[Member], now_ms: int) -> None:
    me = node.membership.self_member.name
    node.membership._claims.take([m for m in members if m.name != me], now_ms, spread=False)
    node.membership._datagrams.updates = UpdateQueue()


def _change(schedule: Schedule, revision: int, change_ms: int = CHANGE_MS) -> list[int]:
    published_ms = schedule.now_ms
    data = register(REGISTER_UPSTREAMS, revision, leaving={revision})
    schedule.publish("register", revision, data)
    schedule.run(change_ms)
    held = [node.store.accepted("register") for node in schedule.nodes.values()]
    late_ms = [schedule.now_ms if d.revision < revision else d.adopted_ms for d in held]
    return [adopted_ms - published_ms for adopted_ms in late_ms]


def _heal(schedule: Schedule) -> int:
    one = next(iter(schedule.members.values())).failure_domain
    links = {name: len(node.membership.live()) for name, node in schedule.nodes.items()}
    schedule.cut = lambda a, b: (a.failure_domain == one) != (b.failure_domain == one)
    schedule.run(20_000)
    schedule.cut = lambda a, b: False

    def healed() -> bool:
        nodes = schedule.nodes.items()
        return all(len(node.membership.live()) >= links[name] for name, node in nodes)

    return schedule.run_until(healed, 60_000)


def _memory(nodes: int, domains: int) -> int:
    members = fleet(nodes, domains)
    tracemalloc.start()
    node = _lone_node(members[0], members)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert node.membership.members()
    return held


def _lone_node(me: Member, members: list[Member]) -> ControlNode:
    node = TimedNode(me, random.Random(1), validate, list_nodes)
    _teach(node, _copies(members), 0)
    return node


def _copies(members: list[Member]) -> list[Member]:
    encoded = orjson.dumps([[m.name, m.role, m.failure_domain, m.ip, m.peer_port] for m in members])
    return [Member(*fields, 1, "alive") for fields in orjson.loads(encoded)]


def _all(schedule: Schedule, condition) -> bool:
    return all(condition(node) for node in schedule.nodes.values())


def _target_node() -> tuple[Schedule, ControlNode, list[Member]]:
    members = fleet(TARGET_NODES, TARGET_DOMAINS)
    node = _lone_node(members[0], members)
    platform = {
        "register": register(LARGE_REGISTER_UPSTREAMS, 1),
        "rules": b"{}",
        "vms": vms_document(members),
    }
    for key, data in platform.items():
        node.on_platform(key, "changed", 1, data, 0)
    others = [m for m in node.membership.members() if m.name != members[0].name]
    return Schedule(1), node, others


def _exchange(schedule: Schedule, node: ControlNode, others: list, sent: Counter) -> None:
    now_ms = schedule.now_ms
    digest = node.dissemination.announcement(now_ms)
    me = node.membership.self_member
    effects = node.tick(now_ms)
    if now_ms % 500 == 0:
        asker = schedule.rng.choice(others)
        updates = _restarted(schedule, others) if now_ms % CHURN_MS == 0 else ()
        probe = Probe(now_ms, asker, digest, me.name, me.incarnation, updates)
        effects += node.on_datagram(probe, asker.ip, asker.peer_port, now_ms)
    for effect in effects:
        if not isinstance(effect, SendDatagram):
            continue
        sent["messages"] += 1
        sent["bytes"] += message_bytes(effect.message)
        subject = node.membership.get(getattr(effect.message, "receiver_name", ""))
        if isinstance(effect.message, Probe) and subject is not None:
            ack = ProbeAck(effect.message.sequence, subject, digest, subject, ())
            node.on_datagram(ack, effect.ip, effect.port, now_ms)


def _restarted(schedule: Schedule, others: list[Member]) -> tuple[Member, ...]:
    gone = schedule.rng.choice(others)
    return (replace(gone, incarnation=gone.incarnation + schedule.now_ms),)


def _print(line: dict) -> None:
    print(orjson.dumps(line).decode(), flush=True)


if __name__ == "__main__":
    sys.exit(main())
