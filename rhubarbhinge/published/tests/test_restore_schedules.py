"""A platform that does all that it may, in any order, and entries that read it and each other.

The platform comes back from copies, forgets its history, loses answers, gives them late, lists what
is old, and can't be reached by some. Three entries read it, follow one another, and take whole
states from each other. Whatever is told in which order: no entry goes back to an older
configuration, what is known never falls, what has left gets nothing new, and no second sees more
than some calls. In the end all know what the platform holds.
"""

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.members import Member, PublishedStatus
from rhubarbhinge.peers import Report
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Evacuation, Follower, ReadFault, Snapshot
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.revision import NO_REVISION, Revision

SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=400)
SEARCHERS = tuple(f"i-{number}" for number in range(4))
DOMAINS = ("hall-a", "hall-b")
ENTRIES = 3
STEP_MS = 400.0
LEASE_MS = 3_600.0
"""An entry of a searcher that writes no more is removed after so long."""
SETTLE_MS = 8_000.0
"""Longer than a lease, and than whatever is kept for a while."""
MOST_CALLS_PER_S = 12
"""Of an entry: four rounds of changes, each with a loss of the history, a list and a watch."""


def plan(version: int) -> ServingPlan:
    return ServingPlan(version, (), {}, CallerLimits())


@dataclass(frozen=True)
class Copy:
    """What the platform held at one time."""

    number: int
    searchers: dict[str, Searcher]
    evacuated: frozenset[str]
    version: int
    events: tuple[tuple[int, str], ...]
    first: int


class Platform:
    """The platform, its searchers and its operator."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.searchers: dict[str, Searcher] = {}
        self.evacuated: set[str] = set()
        self.version = 1
        self.events: list[tuple[int, str]] = []
        self.first = 0
        self.alive: dict[str, Searcher] = {}
        self.restored_ms = 0.0
        self.wants_evacuated: set[str] = set()
        self.wants_version = 1

    @property
    def revision(self) -> Revision:
        return Revision(self.era, self.number)

    def write_searcher(self, name: str) -> None:
        self.searchers[name] = self.alive[name]
        self._changed(f"searcher {name}")

    def remove_searcher(self, name: str) -> None:
        if self.searchers.pop(name, None) is not None:
            self._changed(f"searcher {name}")

    def write_version(self) -> None:
        self.version = self.wants_version
        self._changed("plan")

    def write_evacuation(self, domain: str) -> None:
        if (domain in self.evacuated) == (domain in self.wants_evacuated):
            return
        self.evacuated ^= {domain}
        self._changed(f"evacuated {domain}")

    def copy(self) -> Copy:
        return Copy(
            self.number,
            dict(self.searchers),
            frozenset(self.evacuated),
            self.version,
            tuple(self.events),
            self.first,
        )

    def restore(self, copy: Copy, now_ms: float) -> None:
        self.era += 1
        self.restored_ms = now_ms
        self.number, self.searchers = copy.number, dict(copy.searchers)
        self.evacuated, self.version = set(copy.evacuated), copy.version
        self.events, self.first = list(copy.events), copy.first

    def end_leases(self, now_ms: float) -> None:
        """Remove the entries of searchers that write no more and stand in the copy."""
        if now_ms - self.restored_ms >= LEASE_MS:
            for name in [name for name in self.searchers if name not in self.alive]:
                self.remove_searcher(name)

    def write_again(self) -> None:
        """Have the operator and the searchers write what they wrote."""
        for name, searcher in self.alive.items():
            if self.searchers.get(name) != searcher:
                self.write_searcher(name)
        for domain in DOMAINS:
            self.write_evacuation(domain)
        if self.version != self.wants_version:
            self.write_version()

    def compact(self) -> None:
        self.events.clear()
        self.first = self.number

    def listed(self, age_ms: float = 0.0) -> Snapshot:
        return Snapshot(
            self.revision,
            plan(self.version),
            tuple(self.searchers.values()),
            age_ms,
            evacuated=tuple(sorted(self.evacuated)),
        )

    def watched(self, after: int) -> Changes | ReadFault:
        if not self.first <= after <= self.number:
            return ReadFault("status-410", history_lost=True)
        keys = {key for number, key in self.events if number > after}
        names = sorted(key.split()[1] for key in keys if key.startswith("searcher"))
        domains = sorted(key.split()[1] for key in keys if key.startswith("evacuated"))
        return Changes(
            self.revision,
            plan(self.version) if "plan" in keys else None,
            tuple(self.searchers[name] for name in names if name in self.searchers),
            tuple(name for name in names if name not in self.searchers),
            evacuations=tuple(Evacuation(one, one in self.evacuated) for one in domains),
        )

    def _changed(self, key: str) -> None:
        self.number += 1
        self.events.append((self.number, key))


class Entry:
    """An entry, whose reads the schedule answers."""

    def __init__(self, timers: FakeTimers, number: int):
        self.timers = timers
        self.name = f"vm-{number}"
        self.asked: Revision | None = None
        self.answer: Callable[[Changes | Snapshot | ReadFault], None] | None = None
        self.calls_ms: list[float] = []
        self.place: tuple[str, int, int] = ("", -1, 0)
        self.highest = (0, NO_REVISION)
        self.fleet = Fleet(timers.now_ms, lambda observed: None)
        self.seen: set[Searcher] = set()
        self.gone: set[Searcher] = set()
        """Those that had left, and were published no more, when this entry let them go."""
        self.first = True
        self.wants_all = False
        rng = random.Random(number)
        self.follower = Follower(timers, self, self.fleet, rng, lambda plan: None)
        self.follower.start()

    def read_all(self, on_done) -> None:
        self._called(None, on_done)

    def ask_for_all(self) -> None:
        self.wants_all = True

    def wait_for_changes(self, after_revision, on_done) -> None:
        self._called(after_revision, on_done)

    def _called(self, asked, on_done) -> None:
        self.asked, self.answer = asked, on_done
        self.calls_ms.append(self.timers.now_ms())

    def published(self) -> PublishedStatus:
        version = self.follower.plan.version if self.follower.plan else 0
        return PublishedStatus(self.follower.revision, self.follower.age_ms(), version)

    def outcome(self, platform: Platform) -> Changes | Snapshot | ReadFault:
        if self.asked is not None and self.wants_all:
            return ReadFault("settled", history_lost=True)
        if self.asked is None:
            return platform.listed(-1.0 if self.first else 0.0)
        return platform.watched(self.asked.number)

    def tell(self, outcome) -> None:
        """Answer what is asked."""
        answer, self.answer = self.answer, None
        if isinstance(outcome, Snapshot):
            self.wants_all = False
        self.first = False
        if answer is not None:
            answer(outcome)

    def read(self, platform: Platform) -> None:
        if self.answer is not None:
            self.place = ("", -1, 0)
            self.tell(self.outcome(platform))

    def follow(self, reader: "Entry") -> None:
        """Have its wait answered by another entry, as one that reads for the domain does."""
        if self.asked is None or self.answer is None:
            return
        log_id, position, era = self.place
        same_era = era == self.asked.era == self.follower.revision.era
        if not same_era or self.wants_all:
            log_id, position = "", -1
        state = reader.follower.changes_since(log_id, position)
        if state.revision < self.follower.revision or not reader.follower.is_current():
            return
        self.place = (reader.follower.log.id, reader.follower.log.position, state.revision.era)
        self.tell(state)

    def pull(self, peer: "Entry") -> None:
        """Take the state of a peer that its heartbeat shows to be ahead, and be confirmed by it."""
        told = peer.published()
        member = Member(peer.name, "10.0.0.9", "hall-a", 1)
        report = Report(member, told.revision, told.age_ms, 0.0, told.plan_version)
        self.follower.on_peer_revision(told.revision, told.age_ms)
        known = self.published()
        level = told.revision == known.revision and told.age_ms >= 0
        wants_all = self.follower.needs_peers and self.follower.wants_all
        if report.is_ahead_of(known) or (level and wants_all):
            self.follower.offer(peer.follower.snapshot())

    def check(self, platform: Platform) -> None:
        version, revision = self.highest
        known = self.published()
        assert known.plan_version >= version, "back to an older configuration"
        if known.age_ms >= 0:
            assert known.revision >= revision, "what is known has fallen"
            revision = known.revision
        self.highest = (known.plan_version, revision)
        published = {one.incarnation for one in self.follower.snapshot().searchers}
        assert {one.searcher.incarnation for one in self.fleet.all()} == published
        known = {replace(one.searcher, draining=False): one.usable for one in self.fleet.all()}
        # What the platform lists is no more than kept aside by those that know better.
        there = (*platform.alive.values(), *platform.searchers.values())
        self.gone |= self.seen - known.keys() - {replace(one, draining=False) for one in there}
        self.seen = set(known)
        for one in self.gone:
            assert not known.get(one), "what has left is used again"
        now_ms = self.timers.now_ms()
        self.calls_ms = [at_ms for at_ms in self.calls_ms if at_ms > now_ms - 1_000.0]
        assert len(self.calls_ms) <= MOST_CALLS_PER_S, "calls without pauses"


class Schedule:
    """Carries out drawn steps and checks what must hold after each."""

    def __init__(self):
        self.timers = FakeTimers()
        self.platform = Platform()
        self.copies = [self.platform.copy()]
        self.born = 1_000
        self.cut: set[int] = set()
        self.late: list[tuple[Entry, Callable, object]] = []
        self.entries = [Entry(self.timers, number) for number in range(ENTRIES)]

    def step(self, kind: str, number: int) -> None:
        getattr(self, f"do_{kind}")(number)
        self.check()

    def check(self) -> None:
        for entry in self.entries:
            entry.check(self.platform)

    def do_begin(self, number: int) -> None:
        self.born += 10
        name = SEARCHERS[number]
        ip = f"10.0.0.{number + 1}"
        one = Searcher(name, "s", ip, 80, DOMAINS[number % 2], 2, started_unix_ms=self.born)
        self.platform.alive[name] = one
        self.platform.write_searcher(name)

    def do_drain(self, number: int) -> None:
        name = SEARCHERS[number]
        if name in self.platform.alive:
            self.platform.alive[name] = replace(self.platform.alive[name], draining=True)
            self.platform.write_searcher(name)

    def do_leave(self, number: int) -> None:
        self.platform.alive.pop(SEARCHERS[number], None)
        self.platform.remove_searcher(SEARCHERS[number])

    def do_configure(self, number: int) -> None:
        self.platform.wants_version += 1 + number
        self.platform.write_version()

    def do_evacuate(self, number: int) -> None:
        domain = DOMAINS[number % 2]
        self.platform.wants_evacuated ^= {domain}
        self.platform.write_evacuation(domain)

    def do_copy(self, number: int) -> None:
        self.copies.append(self.platform.copy())

    def do_restore(self, number: int) -> None:
        self.platform.restore(self.copies[-1 - number % len(self.copies)], self.timers.now_ms())
        # What was copied of a later time is no part of what came back.
        self.copies = [one for one in self.copies if one.number <= self.platform.number]

    def do_lose(self, number: int) -> None:
        """Lose a change that all in reach have read."""
        copy = self.platform.copy()
        (self.do_begin, self.do_leave, self.do_configure, self.do_evacuate)[number](number)
        for _ in range(2):
            self.do_read_all(number)
        self.platform.restore(copy, self.timers.now_ms())

    def do_read_all(self, number: int) -> None:
        for place, entry in enumerate(self.entries):
            if place not in self.cut:
                entry.read(self.platform)
        self.do_wait(number)

    def do_rewrite(self, number: int) -> None:
        self.platform.write_again()

    def do_compact(self, number: int) -> None:
        self.platform.compact()

    def do_read(self, number: int) -> None:
        entry = self.entries[number % ENTRIES]
        if number % ENTRIES not in self.cut:
            entry.read(self.platform)

    def do_fail(self, number: int) -> None:
        self.entries[number % ENTRIES].tell(ReadFault("timeout"))

    def do_keep_late(self, number: int) -> None:
        """Take an answer of now that comes later."""
        entry = self.entries[number % ENTRIES]
        if entry.answer is not None and number % ENTRIES not in self.cut:
            self.late.append((entry, entry.answer, entry.outcome(self.platform)))

    def do_late(self, number: int) -> None:
        """Have an answer of before come, if it is still waited for."""
        if self.late:
            entry, answer, outcome = self.late.pop(0)
            if entry.answer is answer:
                entry.place = ("", -1, 0)
                entry.tell(outcome)

    def do_cut(self, number: int) -> None:
        self.cut ^= {number % ENTRIES}

    def do_follow(self, number: int) -> None:
        self.entries[1].follow(self.entries[0])

    def do_pull(self, number: int) -> None:
        self.entries[number % ENTRIES].pull(self.entries[(number + 1 + number // 2) % ENTRIES])

    def do_start_again(self, number: int) -> None:
        self.entries[number % ENTRIES] = Entry(self.timers, number % ENTRIES)

    def do_wait(self, number: int) -> None:
        self.timers.advance(STEP_MS)
        self.platform.end_leases(self.timers.now_ms())

    def settle(self) -> None:
        """Have everything written again and read by those that reach the platform."""
        self.platform.write_again()
        for _ in range(3):
            for _ in range(round(SETTLE_MS / STEP_MS)):
                self.do_wait(0)
                for number, entry in enumerate(self.entries):
                    if number in self.cut:
                        entry.tell(ReadFault("timeout"))
                    else:
                        entry.read(self.platform)
                    for peer in self.entries:
                        if peer is not entry:
                            entry.pull(peer)
                self.check()


KINDS = (
    "begin",
    "begin",
    "drain",
    "leave",
    "configure",
    "configure",
    "evacuate",
    "copy",
    "restore",
    "lose",
    "lose",
    "rewrite",
    "compact",
    "read",
    "read_all",
    "read_all",
    "read_all",
    "fail",
    "keep_late",
    "late",
    "cut",
    "follow",
    "follow",
    "pull",
    "pull",
    "start_again",
    "wait",
    "wait",
)
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 3)), min_size=40, max_size=80)


class RestoreSchedulesTest(unittest.TestCase):
    @SETTINGS
    @given(STEPS)
    def test_whatever_the_platform_does_in_which_order(self, steps):
        schedule = Schedule()
        for kind, number in steps:
            schedule.step(kind, number)
        schedule.cut = {number for number in schedule.cut if number == 2}
        schedule.settle()
        platform = schedule.platform
        for entry in schedule.entries:
            state = entry.follower.snapshot()
            self.assertEqual(state.plan.version, platform.wants_version)
            self.assertEqual(state.revision, platform.revision)
            self.assertEqual(state.evacuated, tuple(sorted(platform.wants_evacuated)))
            published = {one.incarnation: one for one in state.searchers}
            self.assertEqual(published, platform.alive)
