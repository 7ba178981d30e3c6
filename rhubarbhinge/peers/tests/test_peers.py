"""Heartbeats, the table of entries, and state that is handed on."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.peers import (
    Heartbeat,
    HeartbeatError,
    PeerTable,
    StateError,
    ToldState,
    decode_heartbeat,
    decode_state,
    encode_heartbeat,
    encode_state,
)
from rhubarbhinge.plans import (
    CallerLimits,
    Route,
    Service,
    ServingPlan,
    ShardSet,
    WeightedService,
)
from rhubarbhinge.published import Changes, Snapshot

BEAT = Heartbeat("vm-2", "10.0.0.2", "hall-a", 40, 12.0, False, False, ("10.0.0.3",))


class HeartbeatTest(unittest.TestCase):
    def test_a_heartbeat_reads_back(self):
        self.assertEqual(decode_heartbeat(encode_heartbeat(BEAT)), BEAT)

    @given(st.binary(max_size=300))
    def test_other_bytes_are_a_coded_error(self, data):
        with self.assertRaises(HeartbeatError):
            decode_heartbeat(data)

    def test_a_bad_address_or_an_endless_datagram_is_an_error(self):
        bad = encode_heartbeat(replace(BEAT, ip="10.0.0.2; x"))
        for data in (bad, b"[" + b" " * 9_000):
            with self.assertRaises(HeartbeatError):
                decode_heartbeat(data)


class PeerTableTest(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable("10.0.0.1", ("10.0.0.1", "10.0.0.7"))

    def test_seeds_and_what_others_tell_of_are_written_to(self):
        self.assertEqual(self.table.targets(0.0), ("10.0.0.7",))
        self.table.on_heartbeat(BEAT, 0.0)
        self.assertEqual(set(self.table.targets(0.0)), {"10.0.0.7", "10.0.0.2", "10.0.0.3"})

    def test_one_s_own_heartbeat_is_no_peer(self):
        self.table.on_heartbeat(replace(BEAT, ip="10.0.0.1"), 0.0)
        self.assertEqual(self.table.processes(0.0), 1)

    def test_a_silent_entry_is_not_alive_but_may_still_be_sending(self):
        self.table.on_heartbeat(BEAT, 0.0)
        self.assertEqual(len(self.table.live(3_000.0)), 1)
        self.assertEqual(self.table.live(4_000.0), [])
        self.assertEqual(self.table.processes(4_000.0), 2)
        self.assertEqual(self.table.processes(31_000.0), 1)

    def test_an_entry_that_leaves_is_no_longer_counted(self):
        self.table.on_heartbeat(replace(BEAT, leaving=True), 0.0)
        self.assertEqual(self.table.processes(0.0), 1)


class StateTest(unittest.TestCase):
    def test_state_reads_back(self):
        routes = (
            Route("r", "a", "/x/", True, 1e3, 95.0, 2, 2, (), ShardSet(("s", "t"), 5, 0.75)),
            Route("q", "a", "/y/", False, 1e3, 9.0, 1, 2, (WeightedService("s", 0.5),)),
        )
        plan = ServingPlan(7, routes, {"s": Service("s", "/health", 26)}, CallerLimits())
        searcher = Searcher("i-1", "s", "10.0.0.9", 80, "hall-a", 2)
        for state in (
            Snapshot(12, plan, (searcher,), 5.0),
            Snapshot(12, plan, (searcher,), 5.0, {searcher.incarnation: 700.0}),
            Snapshot(0, None, (), -1.0),
            Changes(13, None, (searcher,), ("i-2",), 7.0, by_peer=True),
            Changes(13, None, (), (), 7.0, True, {searcher.incarnation: 700.0}),
        ):
            told = decode_state(encode_state(state, "log", 4))
            self.assertEqual(told, ToldState(state, "log", 4))

    @given(st.binary(max_size=100))
    def test_other_bytes_are_a_coded_error(self, data):
        with self.assertRaises(StateError):
            decode_state(data)
