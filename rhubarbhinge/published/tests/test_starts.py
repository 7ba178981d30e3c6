"""Searchers that restart under the same id, and unusable store entries, with updates in any order.

One entry reads the store. Another one follows it, receives outdated snapshots of it, or reads the
store itself. In any order of updates, no start is replaced by an earlier one, searchers that have
left get no requests, unusable store entries yield no searcher, and finally all entries agree with
the store.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.fleet import Fleet, ObservedSearcher, Searcher
from rhubarbhinge.published import Changes, Follower, ReadFailure, Snapshot, UnusableEntry
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.revision import NO_REVISION, Revision
from rhubarbhinge.utils.testing_revisions import make_revision

SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=400)
IDS = ("i-0", "i-1", "i-2")
SETTLE_MS = 8_000.0
"""Longer than vanished store entries are retained, and than the longest delay between two reads."""


def searcher(name: str, start_unix_ms: int | None, **changes: object) -> Searcher:
    one = Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, started_unix_ms=start_unix_ms)
    return replace(one, **changes)


class Store:
    """The platform's store: a searcher for each key, or None for an unusable value."""

    def __init__(self):
        self.revision = 1
        self.searchers: dict[str, Searcher | None] = {}
        self.changes_by_revision: list[tuple[int, str]] = []
        self.first_revision = 0

    def write(self, name: str, value: Searcher | None) -> None:
        self.searchers[name] = value
        self._record_change(name)

    def remove(self, name: str) -> None:
        if name in self.searchers:
            del self.searchers[name]
            self._record_change(name)

    def compact(self) -> None:
        self.changes_by_revision.clear()
        self.first_revision = self.revision

    def list_all(self) -> Snapshot:
        good = tuple(one for one in self.searchers.values() if one is not None)
        return Snapshot(
            make_revision(self.revision), None, good, unusable=self._unusable(self.searchers)
        )

    def watch(self, after: int) -> Changes | ReadFailure:
        if after < self.first_revision:
            return ReadFailure("status-410", history_lost=True)
        names = {name for revision, name in self.changes_by_revision if revision > after}
        good = tuple(
            self.searchers[name] for name in sorted(names) if self.searchers.get(name) is not None
        )
        removed = tuple(sorted(names - self.searchers.keys()))
        here = sorted(names & self.searchers.keys())
        return Changes(
            make_revision(self.revision), None, good, removed, unusable=self._unusable(here)
        )

    def _unusable(self, names) -> tuple[UnusableEntry, ...]:
        return tuple(
            UnusableEntry(f"servers/{name}", "bad", name)
            for name in names
            if self.searchers[name] is None
        )

    def _record_change(self, name: str) -> None:
        self.revision += 1
        self.changes_by_revision.append((self.revision, name))


class SimulatedEntry:
    """An entry whose reads the test answers."""

    def __init__(self, timers: FakeTimers, seed: int):
        self.timers = timers
        self.pending_read: tuple[str, Revision] = ("", NO_REVISION)
        self.callback = None
        self.log_position = ("", -1)
        self.needs_full_state = False
        self.left_searchers: list[ObservedSearcher] = []
        self.drained_searchers: set = set()
        self.latest_starts: dict[str, int] = {}
        self.fleet = Fleet(timers.now_ms, self.left_searchers.append)
        self.follower = Follower(timers, self, self.fleet, random.Random(seed), lambda plan: None)
        self.follower.start()

    def read_all(self, on_done) -> None:
        self.pending_read, self.callback = ("all", NO_REVISION), on_done

    def request_full_state(self) -> None:
        self.log_position, self.needs_full_state = ("", -1), True

    def confirm(self) -> None:
        pass

    def wait_for_changes(self, after_revision, on_done) -> None:
        self.pending_read, self.callback = ("changes", after_revision), on_done

    def read(self, store: Store) -> None:
        kind, after = self.pending_read
        self.log_position = ("", -1)
        if kind == "all":
            self._respond(store.list_all())
        elif self.needs_full_state:
            self._respond(ReadFailure("settled", history_lost=True))
        else:
            self._respond(store.watch(after.number))

    def follow(self, other: "SimulatedEntry") -> None:
        """Receive changes from another entry, as by a long poll, unless that entry is behind."""
        state = other.follower.changes_since(*self.log_position)
        if self.pending_read[0] != "changes" or state.revision < self.pending_read[1]:
            return
        self.log_position = (other.follower.log.id, other.follower.log.position)
        self._respond(state)

    def fail(self) -> None:
        self._respond(ReadFailure("timeout"))

    def _respond(self, outcome) -> None:
        callback, self.callback = self.callback, None
        self.needs_full_state = self.needs_full_state and not isinstance(outcome, Snapshot)
        if callback is not None:
            callback(outcome)

    def check(self) -> None:
        for one in self.fleet.all():
            assert one.searcher in {
                two.searcher for two in self.fleet.of_service(one.searcher.service)
            }
            name, start_unix_ms = one.searcher.incarnation, one.searcher.started_unix_ms
            if start_unix_ms is not None:
                assert start_unix_ms >= self.latest_starts.get(
                    name, 0
                ), "an earlier start replaced a later one"
                self.latest_starts[name] = start_unix_ms
            if one.searcher.draining:
                self.drained_searchers.add(one)
        for one in (*self.drained_searchers, *self.left_searchers):
            assert not one.usable, "a searcher that has left is used"
        known = {one.searcher.incarnation for one in self.fleet.all()}
        published = {one.incarnation for one in self.follower.snapshot().searchers}
        assert known == published, "the fleet and the published state differ"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "start",
                "start",
                "move",
                "drain",
                "write_stale",
                "corrupt",
                "remove",
                "start_without_time",
                "compact",
                "read-0",
                "read-0",
                "read-1",
                "follow",
                "follow",
                "save",
                "offer",
                "fail-0",
                "fail-1",
                "wait",
            )
        ),
        st.sampled_from(IDS),
    ),
    max_size=40,
)


class Schedule:
    """Executes generated steps and checks the invariants after each."""

    def __init__(self):
        self.timers = FakeTimers()
        self.store = Store()
        self.entries = (SimulatedEntry(self.timers, 1), SimulatedEntry(self.timers, 2))
        self.start_unix_ms = 1_000
        self.starts: dict[str, list[Searcher]] = {name: [] for name in IDS}
        self.saved_snapshot: Snapshot | None = None

    def step(self, kind: str, name: str) -> None:
        getattr(self, "do_" + kind.partition("-")[0])(name, kind)
        for entry in self.entries:
            entry.check()

    def do_start(self, name: str, kind: str) -> None:
        self.start_unix_ms += 10
        self._write_start(searcher(name, self.start_unix_ms))

    def do_move(self, name: str, kind: str) -> None:
        self.start_unix_ms += 10
        self._write_start(
            searcher(name, self.start_unix_ms, service="other", port=81 + self.start_unix_ms % 7)
        )

    def do_start_without_time(self, name: str, kind: str) -> None:
        if not self.starts[name]:
            self.store.write(name, searcher(name, None))

    def do_drain(self, name: str, kind: str) -> None:
        if self.starts[name]:
            self._write_start(replace(self.starts[name][-1], draining=True))

    def do_write_stale(self, name: str, kind: str) -> None:
        """Write the store entry of an earlier start."""
        if len(self.starts[name]) > 1:
            self.store.write(name, self.starts[name][-2])

    def do_corrupt(self, name: str, kind: str) -> None:
        self.store.write(name, None)

    def do_remove(self, name: str, kind: str) -> None:
        self.store.remove(name)

    def do_compact(self, name: str, kind: str) -> None:
        self.store.compact()

    def do_read(self, name: str, kind: str) -> None:
        self.entries[int(kind[-1])].read(self.store)

    def do_follow(self, name: str, kind: str) -> None:
        self.entries[1].follow(self.entries[0])

    def do_save(self, name: str, kind: str) -> None:
        self.saved_snapshot = self.entries[0].follower.snapshot()

    def do_offer(self, name: str, kind: str) -> None:
        if self.saved_snapshot is not None:
            self.entries[1].follower.offer(self.saved_snapshot)

    def do_fail(self, name: str, kind: str) -> None:
        self.entries[int(kind[-1])].fail()

    def do_wait(self, name: str, kind: str) -> None:
        self.timers.advance(400.0)

    def settle(self) -> None:
        for _ in range(6):
            for entry in self.entries:
                entry.read(self.store)
            self.timers.advance(SETTLE_MS)
            for entry in self.entries:
                entry.check()

    def _write_start(self, one: Searcher) -> None:
        starts = self.starts[one.incarnation]
        if starts and starts[-1].started_unix_ms == one.started_unix_ms:
            starts[-1] = one
        else:
            starts.append(one)
        self.store.write(one.incarnation, one)


class StartsTest(unittest.TestCase):
    @SETTINGS
    @given(STEPS)
    def test_invariants_hold_for_any_order_of_updates(self, steps):
        schedule = Schedule()
        for kind, name in steps:
            schedule.step(kind, name)
        schedule.settle()
        for entry in schedule.entries:
            known = {one.searcher.incarnation: one.searcher for one in entry.fleet.all()}
            for name in IDS:
                stored = schedule.store.searchers.get(name)
                if stored is None:
                    self.assertNotIn(name, known)
                elif (stored.started_unix_ms or 1 << 60) >= entry.latest_starts.get(name, 0):
                    self.assertEqual(known[name].service, stored.service)
                    self.assertEqual(known[name].port, stored.port)


class NextStartTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.entry = SimulatedEntry(FakeTimers(), 1)
        self.store.write("i-0", searcher("i-0", 1_000))
        self.entry.read(self.store)

    def observed(self) -> ObservedSearcher:
        (one,) = self.entry.fleet.all()
        return one

    def write(self, one: Searcher | None) -> None:
        self.store.write("i-0", one)
        self.entry.timers.advance(400.0)
        self.entry.read(self.store)

    def test_observations_of_a_start_do_not_apply_to_the_next_one(self):
        first_start = self.observed()
        first_start.on_unreachable()
        for attempt in range(9):
            first_start.on_sent(attempt, 0.0)
            first_start.on_refused(attempt, 0.0)
        first_start.on_sent(9, 0.0)
        self.entry.fleet.mark_gone(first_start)
        self.write(searcher("i-0", 2_000, warmup_ms=500.0))
        next_one = self.observed()
        self.assertTrue(next_one.usable and not next_one.is_down)
        self.assertEqual((next_one.refusal_share(0.0), next_one.slowness(0.0)), (0.0, 1.0))
        self.assertEqual(next_one.started_ms, {})
        self.assertFalse(first_start.usable)

    def test_draining_is_final_without_start_times(self):
        self.write(None)
        self.store.write("i-0", searcher("i-0", None))
        self.entry.timers.advance(400.0)
        self.entry.read(self.store)
        self.write(searcher("i-0", None, draining=True))
        self.write(searcher("i-0", None))
        self.assertFalse(self.observed().usable)

    def test_state_of_earlier_release_without_start_time_keeps_the_start(self):
        before = self.observed()
        snapshot = Snapshot(make_revision(50), None, (searcher("i-0", None, warmup_ms=7.0),))
        self.entry.follower.offer(snapshot)
        self.assertIs(self.observed(), before)
        self.assertEqual(before.searcher, searcher("i-0", 1_000, warmup_ms=7.0))

    def test_lapsed_searcher_that_restarts_is_retained_under_its_new_start_only(self):
        self.entry.fail()
        self.entry.timers.advance(400.0)
        self.store.remove("i-0")
        self.entry.read(self.store)
        first_start = self.observed()
        self.write(searcher("i-0", 2_000))
        self.assertFalse(first_start.usable)
        self.entry.timers.advance(5_000.0)
        self.assertEqual(self.observed().searcher.started_unix_ms, 2_000)

    def test_late_write_of_an_earlier_start_does_not_retain_a_lapsed_searcher(self):
        self.write(searcher("i-0", 2_000))
        self.entry.timers.advance(400.0)
        self.entry.fail()
        self.entry.timers.advance(400.0)
        self.store.remove("i-0")
        self.entry.read(self.store)
        self.assertEqual(self.observed().searcher.started_unix_ms, 2_000)
        self.write(searcher("i-0", 1_000))
        self.entry.timers.advance(5_000.0)
        self.assertEqual(list(self.entry.fleet.all()), [])

    def test_late_write_of_an_earlier_start_does_not_restore_a_removed_searcher(self):
        self.write(searcher("i-0", 2_000))
        self.store.remove("i-0")
        self.entry.timers.advance(400.0)
        self.entry.read(self.store)
        self.write(searcher("i-0", 1_000))
        self.assertEqual(list(self.entry.fleet.all()), [])
        self.write(searcher("i-0", 2_000))
        self.assertEqual(self.observed().searcher.started_unix_ms, 2_000)

    def test_overwritten_entry_is_not_retained_as_lapsed(self):
        for kind in ("list", "watch"):
            with self.subTest(kind):
                self.setUp()
                self.entry.fail()
                if kind == "list":
                    self.store.compact()
                self.entry.timers.advance(400.0)
                self.store.write("i-0", None)
                if kind == "list":
                    self.store.compact()
                    self.entry.read(self.store)
                self.entry.read(self.store)
                self.assertEqual(list(self.entry.fleet.all()), [])
