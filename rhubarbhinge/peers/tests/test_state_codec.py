"""State that is handed on."""

import random
import unittest

import msgspec
import orjson
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.gateway import Splitter
from rhubarbhinge.peers import KnownState, StateError, ToldState, decode_state, encode_state
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
    def test_state_reads_back(self):
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
            told = decode_state(encode_state(state, "log", 4))
            self.assertEqual(told, ToldState(state, "log", 4))

    def test_what_the_receiver_has_is_not_told_and_reads_back_all_the_same(self):
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
            whole, short = (
                encode_state(state, "log", 4, base_plan, same)
                for base_plan, same in ((None, False), (base, True))
            )
            self.assertLess(10 * len(short), len(whole))
            self.assertEqual(decode_state(short, known), ToldState(state, "log", 4))
            self.assertEqual(decode_state(whole, known), ToldState(state, "log", 4))

    def test_a_release_before_evacuations_tells_nothing_of_them(self):
        sent = orjson.loads(
            encode_state(Snapshot(make_revision(12), PLAN, (), evacuated=("hall-b",)), "log", 4)
        )
        del sent["evacuated"], sent["evacuations"]
        self.assertIsNone(decode_state(orjson.dumps(sent)).state.evacuated)

    def test_a_release_before_eras_tells_none_and_passes_over_them(self):
        sent = orjson.loads(encode_state(Snapshot(make_revision(12, 3), PLAN, ()), "log", 4))
        self.assertEqual(sent["revision"], 12)
        del sent["era"]
        self.assertEqual(decode_state(orjson.dumps(sent)).state.revision, make_revision(12))

    def test_what_refers_to_a_configuration_that_the_receiver_lacks_is_a_coded_error(self):
        base = ServingPlan(7, (), {}, CallerLimits())
        data = encode_state(Changes(make_revision(13), replace(base, version=9)), "log", 4, base)
        for plan in (None, replace(base, version=8)):
            with self.assertRaises(StateError):
                decode_state(data, KnownState(plan))

    @given(st.binary(max_size=100))
    def test_other_bytes_are_a_coded_error(self, data):
        with self.assertRaises(StateError):
            decode_state(data)

    def test_when_a_searcher_started_is_told_and_releases_before_pass_over_it(self):
        told = decode_state(STATES[0]).state.searchers[0]
        self.assertEqual(told, SEARCHER)
        sent = orjson.loads(STATES[0])
        del sent["searchers"][0]["started_unix_ms"]
        told = decode_state(orjson.dumps(sent)).state.searchers[0]
        self.assertEqual(told, replace(SEARCHER, started_unix_ms=None))
        sent["searchers"][0]["of_a_later_release"] = 5
        self.assertEqual(decode_state(orjson.dumps(sent)).state.searchers[0], told)

    @FUZZ_SETTINGS
    @given(
        JSON_VALUES | st.sampled_from(STATES).flatmap(lambda data: mutated_json(orjson.loads(data)))
    )
    def test_a_state_with_a_fault_is_one_that_can_be_held_or_a_coded_error(self, value):
        try:
            told = decode_state(msgspec.json.encode(value), KnownState(PLAN, (SEARCHER,), "d"))
        except StateError:
            return
        timers = FakeTimers()
        fleet = Fleet(timers.now_ms, lambda observed: None)
        follower = Follower(timers, _NoSource(), fleet, random.Random(1), _use)
        follower.offer(Snapshot(make_revision(5), PLAN, (SEARCHER,)))
        if isinstance(told.state, Snapshot):
            follower.offer(told.state)
        else:
            follower._apply(told.state)
        timers.advance(5_000.0)
        encode_state(follower.snapshot(), "log", 1)


class _NoSource:
    """A source that never answers."""

    def read_all(self, on_done) -> None:
        pass

    def wait_for_changes(self, after_revision, on_done) -> None:
        pass


def _use(plan: ServingPlan) -> None:
    for route in plan.routes:
        plan.find(route.host, route.path_prefix)
        if route.shards is None:
            Splitter().next(route)
