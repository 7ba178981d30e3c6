"""State that is handed on."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.peers import StateError, ToldState, decode_state, encode_state
from rhubarbhinge.plans import (
    CallerLimits,
    Route,
    Service,
    ServingPlan,
    ShardSet,
    WeightedService,
)
from rhubarbhinge.published import Changes, Snapshot


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
