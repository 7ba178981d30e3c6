"""Encoding and decoding of the published state."""

import random
import unittest

import msgspec
import orjson
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.gateway import WeightedRoundRobin
from rhubarbhinge.peers import DecodedState, KnownState, StateError, decode_state, encode_state
from rhubarbhinge.plans import (
    CallerLimits,
    Route,
    Service,
    ServingPlan,
    ShardSet,
    WeightedService,
)
from rhubarbhinge.published import Changes, Evacuation, Follower, Snapshot
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision
from rhubarbhinge.utils.testing_values import FUZZ_SETTINGS, JSON_VALUES, mutated_json

ROUTES = (
    Route("r", "a", "/x/", True, 1e3, 95.0, 2, 2, (), ShardSet(("s", "t"), 5, 0.75)),
    Route("q", "a", "/y/", False, 1e3, 9.0, 1, 2, (WeightedService("s", 0.5),)),
)
PLAN = ServingPlan(7, ROUTES, {"s": Service("s", "/health", 26)}, CallerLimits())
SEARCHER = Searcher("i-1", "s", "10.0.0.9", 80, "hall-a", 2, False, 700.0, 1_764_720_000_000)
STATES = (
    encode_state(Snapshot(make_revision(12), PLAN, (SEARCHER,), 5.0, {"i-1": 700.0}), "log", 4),
    encode_state(
        Changes(make_revision(13), replace(PLAN, version=9), (SEARCHER,), ("i-2",), 7.0),
        "log",
        4,
        PLAN,
    ),
)


class StateTest(unittest.TestCase):
    def test_state_round_trip(self):
        routes = (
            Route("r", "a", "/x/", True, 1e3, 95.0, 2, 2, (), ShardSet(("s", "t"), 5, 0.75)),
            Route("q", "a", "/y/", False, 1e3, 9.0, 1, 2, (WeightedService("s", 0.5),)),
        )
        plan = ServingPlan(7, routes, {"s": Service("s", "/health", 26)}, CallerLimits())
        searcher = Searcher("i-1", "s", "10.0.0.9", 80, "hall-a", 2)
        for state in (
            Snapshot(make_revision(12), plan, (searcher,), 5.0),
            Snapshot(make_revision(12), plan, (searcher,), 5.0, {searcher.incarnation: 700.0}),
            Snapshot(make_revision(0), None, (), -1.0),
            Changes(make_revision(13), None, (searcher,), ("i-2",), 7.0, by_peer=True),
            Changes(make_revision(13), None, (), (), 7.0, True, {searcher.incarnation: 700.0}),
            Snapshot(make_revision(12), plan, (searcher,), 5.0, evacuated=("hall-b", "hall-c")),
            Changes(make_revision(13), by_peer=True, evacuations=(Evacuation("hall-b", False),)),
            Snapshot(make_revision(9, 2), plan, (), 5.0),
            Changes(make_revision(9, 2), by_peer=True),
        ):
            decoded = decode_state(encode_state(state, "log", 4))
            self.assertEqual(decoded, DecodedState(state, "log", 4))

    def test_parts_known_to_the_receiver_are_omitted(self):
        shards = ShardSet(tuple(f"shard-{n}" for n in range(90)), 5, 0.75)
        routes = tuple(
            Route(f"r{n}", "a", f"/{n}/", True, 1e3, 95.0, 2, 2, (), shards) for n in range(9)
        )
        base = ServingPlan(7, routes, {"s": Service("s", "/health", 26)}, CallerLimits())
        later = replace(base, version=9, routes=(*routes[:4], *routes[5:]))
        searchers = tuple(Searcher(f"i-{n}", "s", "10.0.0.9", 80, "hall-a", 2) for n in range(9))
        known = KnownState(base, searchers, "digest")
        for plan in (base, later):
            state = Snapshot(make_revision(12), plan, searchers, 5.0, {"i-3": 700.0})
            full, compact = (
                encode_state(state, "log", 4, base_plan, same)
                for base_plan, same in ((None, False), (base, True))
            )
            self.assertLess(10 * len(compact), len(full))
            self.assertEqual(decode_state(compact, known), DecodedState(state, "log", 4))
            self.assertEqual(decode_state(full, known), DecodedState(state, "log", 4))

    def test_state_of_release_without_evacuations(self):
        encoded = orjson.loads(
            encode_state(Snapshot(make_revision(12), PLAN, (), evacuated=("hall-b",)), "log", 4)
        )
        del encoded["evacuated"], encoded["evacuations"]
        self.assertIsNone(decode_state(orjson.dumps(encoded)).state.evacuated)

    def test_state_of_release_without_eras(self):
        encoded = orjson.loads(encode_state(Snapshot(make_revision(12, 3), PLAN, ()), "log", 4))
        self.assertEqual(encoded["revision"], 12)
        del encoded["era"]
        self.assertEqual(decode_state(orjson.dumps(encoded)).state.revision, make_revision(12))

    def test_reference_to_an_unknown_plan_raises_state_error(self):
        base = ServingPlan(7, (), {}, CallerLimits())
        data = encode_state(Changes(make_revision(13), replace(base, version=9)), "log", 4, base)
        for plan in (None, replace(base, version=8)):
            with self.assertRaises(StateError):
                decode_state(data, KnownState(plan))

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_raise_state_error(self, data):
        with self.assertRaises(StateError):
            decode_state(data)

    def test_start_time_of_searcher_is_optional(self):
        decoded = decode_state(STATES[0]).state.searchers[0]
        self.assertEqual(decoded, SEARCHER)
        encoded = orjson.loads(STATES[0])
        del encoded["searchers"][0]["started_unix_ms"]
        decoded = decode_state(orjson.dumps(encoded)).state.searchers[0]
        self.assertEqual(decoded, replace(SEARCHER, started_unix_ms=None))
        encoded["searchers"][0]["of_a_later_release"] = 5
        self.assertEqual(decode_state(orjson.dumps(encoded)).state.searchers[0], decoded)

    @FUZZ_SETTINGS
    @given(
        JSON_VALUES | st.sampled_from(STATES).flatmap(lambda data: mutated_json(orjson.loads(data)))
    )
    def test_corrupted_state_is_usable_or_raises_state_error(self, value):
        try:
            decoded = decode_state(msgspec.json.encode(value), KnownState(PLAN, (SEARCHER,), "d"))
        except StateError:
            return
        timers = FakeTimers()
        fleet = Fleet(timers.now_ms, lambda observed: None)
        follower = Follower(timers, _UnresponsiveSource(), fleet, random.Random(1), _exercise)
        follower.offer(Snapshot(make_revision(5), PLAN, (SEARCHER,)))
        if isinstance(decoded.state, Snapshot):
            follower.offer(decoded.state)
        else:
            follower._apply_changes(decoded.state)
        timers.advance(5_000.0)
        encode_state(follower.snapshot(), "log", 1)


class _UnresponsiveSource:
    """A source that never responds."""

    def read_all(self, on_done) -> None:
        pass

    def confirm(self) -> None:
        pass

    def wait_for_changes(self, after_revision, on_done) -> None:
        pass


def _exercise(plan: ServingPlan) -> None:
    for route in plan.routes:
        plan.find(route.host, route.path_prefix)
        if route.shards is None:
            WeightedRoundRobin().next(route)
