"""Membership under random schedules of loss, pauses, partitions and restarts."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from rhubarbhinge.members.tests.simulated import Fleet, even_domains

SETTLE_MS = 14_000.0
"""Time after the last fault until all entries agree: a crash in a partitioned domain is detected
within 4 s, and spread within two syncs of the member table."""
MAX_BYTES_PER_SECOND = 12_000.0
"""Most bytes per second and entry, from the worst generated schedule with faults throughout; an
endless exchange between two entries would exceed it by far."""

STEPS = st.lists(
    st.tuples(
        st.sampled_from(("kill", "leave", "restart", "freeze", "thaw", "cut", "one-way", "heal")),
        st.integers(0, 15),
        st.integers(100, 6_000),
    ),
    max_size=10,
)


class Schedule:
    """Executes generated steps on a fleet.

    :param fleet: the fleet.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.names = list(fleet.nodes)

    def step(self, kind: str, place: int) -> None:
        node = self.fleet.nodes[self.names[place % len(self.names)]]
        getattr(self, "do_" + kind.replace("-", "_"))(node)

    def do_kill(self, node) -> None:
        node.kill()

    def do_leave(self, node) -> None:
        if node.running and not node.frozen:
            node.membership.leave()

    def do_restart(self, node) -> None:
        node.kill()
        self.fleet.start(node.name)

    def do_freeze(self, node) -> None:
        node.freeze()

    def do_thaw(self, node) -> None:
        if node.frozen:
            node.thaw()

    def do_cut(self, node) -> None:
        inside = {one.ip for one in self.fleet.nodes.values() if one.domain == node.domain}
        self.fleet.is_blocked = lambda from_ip, to_ip: (from_ip in inside) != (to_ip in inside)

    def do_one_way(self, node) -> None:
        self.fleet.is_blocked = lambda from_ip, to_ip: to_ip == node.ip

    def do_heal(self, node) -> None:
        self.fleet.is_blocked = lambda from_ip, to_ip: False

    def end(self) -> None:
        self.do_heal(None)
        for node in self.fleet.nodes.values():
            self.do_thaw(node)


class ScheduleTest(unittest.TestCase):
    @example([("freeze", 6, 3_644), ("leave", 1, 826)], 43_810, 16, False)
    @example([("leave", 1, 4_743), ("kill", 2, 8_586)], 260, 6, False)
    @settings(derandomize=True, deadline=None, database=None, max_examples=40)
    @given(STEPS, st.integers(0, 1 << 30), st.sampled_from((6, 11, 16)), st.booleans())
    def test_entries_agree_after_any_schedule(self, steps, seed, members, lossy):
        net = Fleet(even_domains(members), seed)
        net.loss, net.duplicates = (0.1, 0.1) if lossy else (0.0, 0.0)
        net.start_all()
        net.advance(5_000.0)
        net.reset_counters()
        started_ms = net.clock.now_ms()
        schedule = Schedule(net)
        for kind, place, wait_ms in steps:
            schedule.step(kind, place)
            net.advance(float(wait_ms))
        schedule.end()
        net.loss = net.duplicates = 0.0
        net.advance(SETTLE_MS)
        expected = {
            node.name
            for node in net.nodes.values()
            if node.running and node.membership.me.is_present
        }
        # An entry that has left gets no more updates, so its table is out of date.
        for node in net.nodes.values():
            if node.name in expected:
                self.assertEqual(node.live_names() - {node.name}, expected - {node.name})
                self.assertGreaterEqual(node.membership.process_count(), len(expected))
        seconds = (net.clock.now_ms() - started_ms) / 1e3
        most = max(net.sent_bytes.values()) / seconds
        self.assertLess(most, MAX_BYTES_PER_SECOND)
