"""Searchers that start again under their id, and entries of other writers, in any order of news.

An entry reads the store, another one follows it, takes whole states of it late, or reads the store
itself. Whatever is told in which order: no start is followed by an earlier one, what has left gets
nothing new, an entry that can't be used names no searcher, and in the end all know what the store
holds.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.fleet import Fleet, ObservedSearcher, Searcher
from rhubarbhinge.published import Changes, Follower, ReadFault, Snapshot, UnusableEntry
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.revision import NO_REVISION, Revision
from rhubarbhinge.utils.testing_revisions import at

SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=400)
IDS = ("i-0", "i-1", "i-2")
SETTLE_MS = 8_000.0
"""Longer than what vanished is kept, and than the longest pause between two reads."""


def searcher(name: str, born: int | None, **changes: object) -> Searcher:
    one = Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, started_unix_ms=born)
    return replace(one, **changes)


class Store:
    """What the platform holds: for each key a searcher, or None for what names none to use."""

    def __init__(self):
        self.revision = 1
        self.held: dict[str, Searcher | None] = {}
        self.events: list[tuple[int, str]] = []
        self.first = 0

    def write(self, name: str, value: Searcher | None) -> None:
        self.held[name] = value
        self._changed(name)

    def remove(self, name: str) -> None:
        if name in self.held:
            del self.held[name]
            self._changed(name)

    def compact(self) -> None:
        self.events.clear()
        self.first = self.revision

    def listed(self) -> Snapshot:
        good = tuple(one for one in self.held.values() if one is not None)
        return Snapshot(at(self.revision), None, good, unusable=self._unusable(self.held))

    def watched(self, after: int) -> Changes | ReadFault:
        if after < self.first:
            return ReadFault("status-410", history_lost=True)
        names = {name for revision, name in self.events if revision > after}
        good = tuple(self.held[name] for name in sorted(names) if self.held.get(name) is not None)
        removed = tuple(sorted(names - self.held.keys()))
        here = sorted(names & self.held.keys())
        return Changes(at(self.revision), None, good, removed, unusable=self._unusable(here))

    def _unusable(self, names) -> tuple[UnusableEntry, ...]:
        return tuple(
            UnusableEntry(f"servers/{name}", "bad", name)
            for name in names
            if self.held[name] is None
        )

    def _changed(self, name: str) -> None:
        self.revision += 1
        self.events.append((self.revision, name))


class Entry:
    """An entry, whose reads the test answers."""

    def __init__(self, timers: FakeTimers, seed: int):
        self.timers = timers
        self.asked: tuple[str, Revision] = ("", NO_REVISION)
        self.answer = None
        self.place = ("", -1)
        self.wants_all = False
        self.left: list[ObservedSearcher] = []
        self.drained: set = set()
        self.newest: dict[str, int] = {}
        self.fleet = Fleet(timers.now_ms, self.left.append)
        self.follower = Follower(timers, self, self.fleet, random.Random(seed), lambda plan: None)
        self.follower.start()

    def read_all(self, on_done) -> None:
        self.asked, self.answer = ("all", NO_REVISION), on_done

    def ask_for_all(self) -> None:
        self.place, self.wants_all = ("", -1), True

    def wait_for_changes(self, after_revision, on_done) -> None:
        self.asked, self.answer = ("changes", after_revision), on_done

    def read(self, store: Store) -> None:
        kind, after = self.asked
        self.place = ("", -1)
        if kind == "all":
            self._tell(store.listed())
        elif self.wants_all:
            self._tell(ReadFault("settled", history_lost=True))
        else:
            self._tell(store.watched(after.number))

    def follow(self, other: "Entry") -> None:
        """Hear of another entry, as one that waits at it does, unless that one is behind."""
        state = other.follower.changes_since(*self.place)
        if self.asked[0] != "changes" or state.revision < self.asked[1]:
            return
        self.place = (other.follower.log.id, other.follower.log.position)
        self._tell(state)

    def fail(self) -> None:
        self._tell(ReadFault("timeout"))

    def _tell(self, outcome) -> None:
        answer, self.answer = self.answer, None
        self.wants_all = self.wants_all and not isinstance(outcome, Snapshot)
        if answer is not None:
            answer(outcome)

    def check(self) -> None:
        for one in self.fleet.all():
            assert one.searcher in {
                two.searcher for two in self.fleet.of_service(one.searcher.service)
            }
            name, born = one.searcher.incarnation, one.searcher.started_unix_ms
            if born is not None:
                assert born >= self.newest.get(name, 0), "an earlier start came after a later one"
                self.newest[name] = born
            if one.searcher.draining:
                self.drained.add(one)
        for one in (*self.drained, *self.left):
            assert not one.usable, "what has left is used"
        known = {one.searcher.incarnation for one in self.fleet.all()}
        published = {one.incarnation for one in self.follower.snapshot().searchers}
        assert known == published, "fleet and published state differ"


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "start",
                "start",
                "move",
                "drain",
                "late",
                "spoil",
                "remove",
                "unborn",
                "compact",
                "read-0",
                "read-0",
                "read-1",
                "follow",
                "follow",
                "keep",
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
    """Carries out drawn steps and checks what must hold after each."""

    def __init__(self):
        self.timers = FakeTimers()
        self.store = Store()
        self.entries = (Entry(self.timers, 1), Entry(self.timers, 2))
        self.born = 1_000
        self.starts: dict[str, list[Searcher]] = {name: [] for name in IDS}
        self.kept: Snapshot | None = None

    def step(self, kind: str, name: str) -> None:
        getattr(self, "do_" + kind.partition("-")[0])(name, kind)
        for entry in self.entries:
            entry.check()

    def do_start(self, name: str, kind: str) -> None:
        self.born += 10
        self._written(searcher(name, self.born))

    def do_move(self, name: str, kind: str) -> None:
        self.born += 10
        self._written(searcher(name, self.born, service="other", port=81 + self.born % 7))

    def do_unborn(self, name: str, kind: str) -> None:
        if not self.starts[name]:
            self.store.write(name, searcher(name, None))

    def do_drain(self, name: str, kind: str) -> None:
        if self.starts[name]:
            self._written(replace(self.starts[name][-1], draining=True))

    def do_late(self, name: str, kind: str) -> None:
        """Write what an earlier start has said of itself."""
        if len(self.starts[name]) > 1:
            self.store.write(name, self.starts[name][-2])

    def do_spoil(self, name: str, kind: str) -> None:
        self.store.write(name, None)

    def do_remove(self, name: str, kind: str) -> None:
        self.store.remove(name)

    def do_compact(self, name: str, kind: str) -> None:
        self.store.compact()

    def do_read(self, name: str, kind: str) -> None:
        self.entries[int(kind[-1])].read(self.store)

    def do_follow(self, name: str, kind: str) -> None:
        self.entries[1].follow(self.entries[0])

    def do_keep(self, name: str, kind: str) -> None:
        self.kept = self.entries[0].follower.snapshot()

    def do_offer(self, name: str, kind: str) -> None:
        if self.kept is not None:
            self.entries[1].follower.offer(self.kept)

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

    def _written(self, one: Searcher) -> None:
        starts = self.starts[one.incarnation]
        if starts and starts[-1].started_unix_ms == one.started_unix_ms:
            starts[-1] = one
        else:
            starts.append(one)
        self.store.write(one.incarnation, one)


class StartsTest(unittest.TestCase):
    @SETTINGS
    @given(STEPS)
    def test_whatever_is_told_in_which_order(self, steps):
        schedule = Schedule()
        for kind, name in steps:
            schedule.step(kind, name)
        schedule.settle()
        for entry in schedule.entries:
            known = {one.searcher.incarnation: one.searcher for one in entry.fleet.all()}
            for name in IDS:
                held = schedule.store.held.get(name)
                if held is None:
                    self.assertNotIn(name, known)
                elif (held.started_unix_ms or 1 << 60) >= entry.newest.get(name, 0):
                    self.assertEqual(known[name].service, held.service)
                    self.assertEqual(known[name].port, held.port)


class NextStartTest(unittest.TestCase):
    def setUp(self):
        self.store = Store()
        self.entry = Entry(FakeTimers(), 1)
        self.store.write("i-0", searcher("i-0", 1_000))
        self.entry.read(self.store)

    def observed(self) -> ObservedSearcher:
        (one,) = self.entry.fleet.all()
        return one

    def write(self, one: Searcher | None) -> None:
        self.store.write("i-0", one)
        self.entry.timers.advance(400.0)
        self.entry.read(self.store)

    def test_nothing_that_was_learned_of_a_start_holds_for_the_next_one(self):
        first = self.observed()
        first.on_unreachable()
        for attempt in range(9):
            first.on_sent(attempt, 0.0)
            first.on_refused(attempt, 0.0)
        first.on_sent(9, 0.0)
        self.entry.fleet.mark_gone(first)
        self.write(searcher("i-0", 2_000, warmup_ms=500.0))
        next_one = self.observed()
        self.assertTrue(next_one.usable and not next_one.is_down)
        self.assertEqual((next_one.refusal_share(0.0), next_one.slowness(0.0)), (0.0, 1.0))
        self.assertEqual(next_one.started_ms, {})
        self.assertFalse(first.usable)

    def test_without_the_time_of_a_start_leaving_stays_final_as_before(self):
        self.write(None)
        self.store.write("i-0", searcher("i-0", None))
        self.entry.timers.advance(400.0)
        self.entry.read(self.store)
        self.write(searcher("i-0", None, draining=True))
        self.write(searcher("i-0", None))
        self.assertFalse(self.observed().usable)

    def test_a_peer_of_an_earlier_release_that_leaves_the_time_out_changes_nothing(self):
        before = self.observed()
        snapshot = Snapshot(at(50), None, (searcher("i-0", None, warmup_ms=7.0),))
        self.entry.follower.offer(snapshot)
        self.assertIs(self.observed(), before)
        self.assertEqual(before.searcher, searcher("i-0", 1_000, warmup_ms=7.0))

    def test_what_lapsed_and_starts_again_is_kept_under_its_new_start_only(self):
        self.entry.fail()
        self.entry.timers.advance(400.0)
        self.store.remove("i-0")
        self.entry.read(self.store)
        first = self.observed()
        self.write(searcher("i-0", 2_000))
        self.assertFalse(first.usable)
        self.entry.timers.advance(5_000.0)
        self.assertEqual(self.observed().searcher.started_unix_ms, 2_000)

    def test_what_lapsed_is_not_kept_on_by_what_an_earlier_start_wrote_late(self):
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

    def test_what_an_earlier_start_wrote_late_brings_none_back_that_is_gone(self):
        self.write(searcher("i-0", 2_000))
        self.store.remove("i-0")
        self.entry.timers.advance(400.0)
        self.entry.read(self.store)
        self.write(searcher("i-0", 1_000))
        self.assertEqual(list(self.entry.fleet.all()), [])
        self.write(searcher("i-0", 2_000))
        self.assertEqual(self.observed().searcher.started_unix_ms, 2_000)

    def test_an_entry_that_is_overwritten_is_not_kept_as_one_that_lapsed(self):
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
