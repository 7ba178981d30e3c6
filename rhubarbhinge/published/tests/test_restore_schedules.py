"""Randomized schedules of platform failures, and entries that read the platform and each other.

The platform is restored from backups, loses its history, loses or delays responses, returns stale
lists, and is unreachable for some entries. Three entries read it, follow one another, and pull full
states from each other. In any order of events, no entry reverts to an older serving plan, no known
revision decreases, searchers that have left get no requests, and the rate of calls is bounded.
Finally all entries agree with the platform.
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
from rhubarbhinge.peers import PeerReport
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Evacuation, Follower, ReadFailure, Snapshot
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.revision import NO_REVISION, Revision

SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=400)
SEARCHERS = tuple(f"i-{number}" for number in range(4))
DOMAINS = ("hall-a", "hall-b")
ENTRIES = 3
STEP_MS = 400.0
LEASE_MS = 3_600.0
"""Time after which the store entry of a searcher that no longer writes is removed."""
SETTLE_MS = 8_000.0
"""Longer than a lease, and than any store entry is retained or set aside."""
MAX_CALLS_PER_S = 12
"""Of one entry: four rounds of changes, each with lost history, a list and a watch."""


def plan(version: int) -> ServingPlan:
    return ServingPlan(version, (), {}, CallerLimits())


@dataclass(frozen=True)
class Backup:
    """The contents of the platform at one time."""

    number: int
    searchers: dict[str, Searcher]
    evacuated: frozenset[str]
    version: int
    changes_by_revision: tuple[tuple[int, str], ...]
    first_revision: int


class Platform:
    """The platform, its searchers and its operator."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.searchers: dict[str, Searcher] = {}
        self.evacuated: set[str] = set()
        self.version = 1
        self.changes_by_revision: list[tuple[int, str]] = []
        self.first_revision = 0
        self.live_searchers: dict[str, Searcher] = {}
        self.restored_ms = 0.0
        self.desired_evacuated: set[str] = set()
        self.desired_version = 1

    @property
    def revision(self) -> Revision:
        return Revision(self.era, self.number)

    def write_searcher(self, name: str) -> None:
        self.searchers[name] = self.live_searchers[name]
        self._record_change(f"searcher {name}")

    def remove_searcher(self, name: str) -> None:
        if self.searchers.pop(name, None) is not None:
            self._record_change(f"searcher {name}")

    def write_version(self) -> None:
        self.version = self.desired_version
        self._record_change("plan")

    def write_evacuation(self, domain: str) -> None:
        if (domain in self.evacuated) == (domain in self.desired_evacuated):
            return
        self.evacuated ^= {domain}
        self._record_change(f"evacuated {domain}")

    def backup(self) -> Backup:
        return Backup(
            self.number,
            dict(self.searchers),
            frozenset(self.evacuated),
            self.version,
            tuple(self.changes_by_revision),
            self.first_revision,
        )

    def restore(self, backup: Backup, now_ms: float) -> None:
        self.era += 1
        self.restored_ms = now_ms
        self.number, self.searchers = backup.number, dict(backup.searchers)
        self.evacuated, self.version = set(backup.evacuated), backup.version
        self.changes_by_revision, self.first_revision = (
            list(backup.changes_by_revision),
            backup.first_revision,
        )

    def expire_leases(self, now_ms: float) -> None:
        """Remove store entries of searchers that a backup held and that no longer write."""
        if now_ms - self.restored_ms >= LEASE_MS:
            for name in [name for name in self.searchers if name not in self.live_searchers]:
                self.remove_searcher(name)

    def write_desired_state(self) -> None:
        """Have the operator and the searchers write their current store entries."""
        for name, searcher in self.live_searchers.items():
            if self.searchers.get(name) != searcher:
                self.write_searcher(name)
        for domain in DOMAINS:
            self.write_evacuation(domain)
        if self.version != self.desired_version:
            self.write_version()

    def compact(self) -> None:
        self.changes_by_revision.clear()
        self.first_revision = self.number

    def list_all(self, age_ms: float = 0.0) -> Snapshot:
        return Snapshot(
            self.revision,
            plan(self.version),
            tuple(self.searchers.values()),
            age_ms,
            evacuated=tuple(sorted(self.evacuated)),
        )

    def watch(self, after: int) -> Changes | ReadFailure:
        if not self.first_revision <= after <= self.number:
            return ReadFailure("status-410", history_lost=True)
        keys = {key for number, key in self.changes_by_revision if number > after}
        names = sorted(key.split()[1] for key in keys if key.startswith("searcher"))
        domains = sorted(key.split()[1] for key in keys if key.startswith("evacuated"))
        return Changes(
            self.revision,
            plan(self.version) if "plan" in keys else None,
            tuple(self.searchers[name] for name in names if name in self.searchers),
            tuple(name for name in names if name not in self.searchers),
            evacuations=tuple(Evacuation(one, one in self.evacuated) for one in domains),
        )

    def _record_change(self, key: str) -> None:
        self.number += 1
        self.changes_by_revision.append((self.number, key))


class SimulatedEntry:
    """An entry whose reads the schedule answers."""

    def __init__(self, timers: FakeTimers, number: int):
        self.timers = timers
        self.name = f"vm-{number}"
        self.pending_revision: Revision | None = None
        self.callback: Callable[[Changes | Snapshot | ReadFailure], None] | None = None
        self.calls_ms: list[float] = []
        self.log_position: tuple[str, int, int] = ("", -1, 0)
        self.highest_seen = (0, NO_REVISION)
        self.fleet = Fleet(timers.now_ms, lambda observed: None)
        self.seen_searchers: set[Searcher] = set()
        self.removed_searchers: set[Searcher] = set()
        """Searchers that had left and were no longer published when this entry removed them."""
        self.is_first_read = True
        self.needs_full_state = False
        rng = random.Random(number)
        self.follower = Follower(timers, self, self.fleet, rng, lambda plan: None)
        self.follower.start()

    def read_all(self, on_done) -> None:
        self._record_call(None, on_done)

    def request_full_state(self) -> None:
        self.needs_full_state = True

    def confirm(self) -> None:
        pass

    def wait_for_changes(self, after_revision, on_done) -> None:
        self._record_call(after_revision, on_done)

    def _record_call(self, pending_revision, on_done) -> None:
        self.pending_revision, self.callback = pending_revision, on_done
        self.calls_ms.append(self.timers.now_ms())

    def published(self) -> PublishedStatus:
        version = self.follower.plan.version if self.follower.plan else 0
        return PublishedStatus(self.follower.revision, self.follower.age_ms(), version)

    def outcome(self, platform: Platform) -> Changes | Snapshot | ReadFailure:
        if self.pending_revision is not None and self.needs_full_state:
            return ReadFailure("settled", history_lost=True)
        if self.pending_revision is None:
            return platform.list_all(-1.0 if self.is_first_read else 0.0)
        return platform.watch(self.pending_revision.number)

    def respond(self, outcome) -> None:
        """Complete the pending read."""
        callback, self.callback = self.callback, None
        if isinstance(outcome, Snapshot):
            self.needs_full_state = False
        self.is_first_read = False
        if callback is not None:
            callback(outcome)

    def read(self, platform: Platform) -> None:
        if self.callback is not None:
            self.log_position = ("", -1, 0)
            self.respond(self.outcome(platform))

    def follow(self, reader: "SimulatedEntry") -> None:
        """Complete the pending wait with the response of the reader of its domain."""
        if self.pending_revision is None or self.callback is None:
            return
        log_id, position, era = self.log_position
        same_era = era == self.pending_revision.era == self.follower.revision.era
        if not same_era or self.needs_full_state:
            log_id, position = "", -1
        state = reader.follower.changes_since(log_id, position)
        if state.revision < self.follower.revision or not reader.follower.is_current():
            return
        self.log_position = (
            reader.follower.log.id,
            reader.follower.log.position,
            state.revision.era,
        )
        self.respond(state)

    def pull(self, peer: "SimulatedEntry") -> None:
        """Process the heartbeat of a peer, and pull its state if that is ahead."""
        status = peer.published()
        member = Member(peer.name, "10.0.0.9", "hall-a", 1)
        report = PeerReport(member, status.revision, status.age_ms, 0.0, status.plan_version)
        self.follower.on_peer_revision(status.revision, status.age_ms)
        known = self.published()
        is_same_revision = status.revision == known.revision and status.age_ms >= 0
        needs_full_state = self.follower.needs_peers and self.follower.needs_full_state
        if report.is_ahead_of(known) or (is_same_revision and needs_full_state):
            self.follower.offer(peer.follower.snapshot())

    def check(self, platform: Platform) -> None:
        version, revision = self.highest_seen
        known = self.published()
        assert known.plan_version >= version, "reverted to an older serving plan"
        if known.age_ms >= 0:
            assert known.revision >= revision, "the known revision has decreased"
            revision = known.revision
        self.highest_seen = (known.plan_version, revision)
        published = {one.incarnation for one in self.follower.snapshot().searchers}
        assert {one.searcher.incarnation for one in self.fleet.all()} == published
        known = {replace(one.searcher, draining=False): one.usable for one in self.fleet.all()}
        # Searchers that the platform still lists do not count as removed: entries that know that
        # they have left only set them aside.
        platform_searchers = (*platform.live_searchers.values(), *platform.searchers.values())
        self.removed_searchers |= (
            self.seen_searchers
            - known.keys()
            - {replace(one, draining=False) for one in platform_searchers}
        )
        self.seen_searchers = set(known)
        for one in self.removed_searchers:
            assert not known.get(one), "a searcher that has left is used again"
        now_ms = self.timers.now_ms()
        self.calls_ms = [at_ms for at_ms in self.calls_ms if at_ms > now_ms - 1_000.0]
        assert len(self.calls_ms) <= MAX_CALLS_PER_S, "too many calls in a second"


class Schedule:
    """Executes generated steps and checks the invariants after each."""

    def __init__(self):
        self.timers = FakeTimers()
        self.platform = Platform()
        self.backups = [self.platform.backup()]
        self.start_unix_ms = 1_000
        self.partitioned: set[int] = set()
        self.delayed: list[tuple[SimulatedEntry, Callable, object]] = []
        self.entries = [SimulatedEntry(self.timers, number) for number in range(ENTRIES)]

    def step(self, kind: str, number: int) -> None:
        getattr(self, f"do_{kind}")(number)
        self.check()

    def check(self) -> None:
        for entry in self.entries:
            entry.check(self.platform)

    def do_start(self, number: int) -> None:
        self.start_unix_ms += 10
        name = SEARCHERS[number]
        ip = f"10.0.0.{number + 1}"
        one = Searcher(
            name, "s", ip, 80, DOMAINS[number % 2], 2, started_unix_ms=self.start_unix_ms
        )
        self.platform.live_searchers[name] = one
        self.platform.write_searcher(name)

    def do_drain(self, number: int) -> None:
        name = SEARCHERS[number]
        if name in self.platform.live_searchers:
            self.platform.live_searchers[name] = replace(
                self.platform.live_searchers[name], draining=True
            )
            self.platform.write_searcher(name)

    def do_leave(self, number: int) -> None:
        self.platform.live_searchers.pop(SEARCHERS[number], None)
        self.platform.remove_searcher(SEARCHERS[number])

    def do_configure(self, number: int) -> None:
        self.platform.desired_version += 1 + number
        self.platform.write_version()

    def do_evacuate(self, number: int) -> None:
        domain = DOMAINS[number % 2]
        self.platform.desired_evacuated ^= {domain}
        self.platform.write_evacuation(domain)

    def do_backup(self, number: int) -> None:
        self.backups.append(self.platform.backup())

    def do_restore(self, number: int) -> None:
        self.platform.restore(self.backups[-1 - number % len(self.backups)], self.timers.now_ms())
        # Backups of a later time do not belong to the restored history.
        self.backups = [one for one in self.backups if one.number <= self.platform.number]

    def do_lose_change(self, number: int) -> None:
        """Lose a change that all reachable entries have read."""
        backup = self.platform.backup()
        (self.do_start, self.do_leave, self.do_configure, self.do_evacuate)[number](number)
        for _ in range(2):
            self.do_read_all(number)
        self.platform.restore(backup, self.timers.now_ms())

    def do_read_all(self, number: int) -> None:
        for index, entry in enumerate(self.entries):
            if index not in self.partitioned:
                entry.read(self.platform)
        self.do_wait(number)

    def do_rewrite(self, number: int) -> None:
        self.platform.write_desired_state()

    def do_compact(self, number: int) -> None:
        self.platform.compact()

    def do_read(self, number: int) -> None:
        entry = self.entries[number % ENTRIES]
        if number % ENTRIES not in self.partitioned:
            entry.read(self.platform)

    def do_fail(self, number: int) -> None:
        self.entries[number % ENTRIES].respond(ReadFailure("timeout"))

    def do_delay_response(self, number: int) -> None:
        """Record a current response, to be delivered later."""
        entry = self.entries[number % ENTRIES]
        if entry.callback is not None and number % ENTRIES not in self.partitioned:
            self.delayed.append((entry, entry.callback, entry.outcome(self.platform)))

    def do_deliver_response(self, number: int) -> None:
        """Deliver a delayed response, if it is still awaited."""
        if self.delayed:
            entry, callback, outcome = self.delayed.pop(0)
            if entry.callback is callback:
                entry.log_position = ("", -1, 0)
                entry.respond(outcome)

    def do_partition(self, number: int) -> None:
        self.partitioned ^= {number % ENTRIES}

    def do_follow(self, number: int) -> None:
        self.entries[1].follow(self.entries[0])

    def do_pull(self, number: int) -> None:
        self.entries[number % ENTRIES].pull(self.entries[(number + 1 + number // 2) % ENTRIES])

    def do_restart(self, number: int) -> None:
        self.entries[number % ENTRIES] = SimulatedEntry(self.timers, number % ENTRIES)

    def do_wait(self, number: int) -> None:
        self.timers.advance(STEP_MS)
        self.platform.expire_leases(self.timers.now_ms())

    def settle(self) -> None:
        """Rewrite all store entries and let the entries that reach the platform read them."""
        self.platform.write_desired_state()
        for _ in range(3):
            for _ in range(round(SETTLE_MS / STEP_MS)):
                self.do_wait(0)
                for number, entry in enumerate(self.entries):
                    if number in self.partitioned:
                        entry.respond(ReadFailure("timeout"))
                    else:
                        entry.read(self.platform)
                    for peer in self.entries:
                        if peer is not entry:
                            entry.pull(peer)
                self.check()


KINDS = (
    "start",
    "start",
    "drain",
    "leave",
    "configure",
    "configure",
    "evacuate",
    "backup",
    "restore",
    "lose_change",
    "lose_change",
    "rewrite",
    "compact",
    "read",
    "read_all",
    "read_all",
    "read_all",
    "fail",
    "delay_response",
    "deliver_response",
    "partition",
    "follow",
    "follow",
    "pull",
    "pull",
    "restart",
    "wait",
    "wait",
)
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 3)), min_size=40, max_size=80)


class RestoreSchedulesTest(unittest.TestCase):
    @SETTINGS
    @given(STEPS)
    def test_invariants_hold_for_any_order_of_events(self, steps):
        schedule = Schedule()
        for kind, number in steps:
            schedule.step(kind, number)
        schedule.partitioned = {number for number in schedule.partitioned if number == 2}
        schedule.settle()
        platform = schedule.platform
        for entry in schedule.entries:
            state = entry.follower.snapshot()
            self.assertEqual(state.plan.version, platform.desired_version)
            self.assertEqual(state.revision, platform.revision)
            self.assertEqual(state.evacuated, tuple(sorted(platform.desired_evacuated)))
            published = {one.incarnation: one for one in state.searchers}
            self.assertEqual(published, platform.live_searchers)
