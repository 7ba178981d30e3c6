"""Tests for reachability checks of failure domains, at 195 VMs with 87 shards of two searchers.

Guards against a third of all searchers, or a whole failure domain, becoming unreachable at once. In
a domain of 39 entries, each entry receives a reply of a searcher only every few hundred
milliseconds, so two silent searchers look like a partitioned domain. All 195 entries react at once,
and a searcher accepts 120 connections from all of them together, so one from each is too many.
"""

import random
import unittest

from rhubarbhinge.fleet import DomainReachability, Fleet, ObservedSearcher, Searcher
from rhubarbhinge.gateway._domain_checks import SAMPLE_SIZE, VERIFY_TIMEOUT_MS, DomainChecks
from rhubarbhinge.utils.fake_timers import FakeTimers

ENTRIES = 195
SHARDS = 87
DOMAINS = ("hall-a", "hall-b")
MAX_CONNECTIONS = 120
PROBE_MS = 250.0


class FakePool:
    """Records the connections that are opened; those to reachable searchers succeed."""

    def __init__(self, timers: FakeTimers, reachability, is_unreachable):
        self._timers = timers
        self._reachability = reachability
        self._is_unreachable = is_unreachable
        self.opened: list[ObservedSearcher] = []
        self.suspended_searchers: list[ObservedSearcher] = []

    def verify(self, observed: ObservedSearcher) -> None:
        observed.on_unreachable()
        self.open_ahead(observed)

    def suspend_searcher(self, observed: ObservedSearcher) -> None:
        observed.on_unreachable()
        self.suspended_searchers.append(observed)

    def open_ahead(self, observed: ObservedSearcher) -> None:
        self.opened.append(observed)
        if not self._is_unreachable(observed):
            self._timers.after(8.0, lambda: self._connected(observed))

    def _connected(self, observed: ObservedSearcher) -> None:
        observed.on_connected(self._timers.now_ms())
        self._reachability.on_heard(observed.searcher.failure_domain)


class EntryView:
    """The fleet as seen by one entry, with its domain checks."""

    def __init__(self, timers: FakeTimers, seed: int, is_unreachable):
        self.timers = timers
        self.changes = 0
        self.fleet = Fleet(timers.now_ms, lambda observed: None)
        for shard in range(SHARDS):
            for place, domain in enumerate(DOMAINS):
                name, ip = f"i-{shard}-{place}", f"10.{place}.0.{shard + 1}"
                self.fleet.put(Searcher(name, f"shard-{shard}", ip, 80, domain, 2))
        self.reachability = DomainReachability(
            timers.now_ms,
            lambda domain: self.checks.suspect(domain),
            lambda domain: self.checks.on_heard(domain),
        )
        self.pool = FakePool(timers, self.reachability, is_unreachable)
        self.checks = DomainChecks(
            timers, self.fleet, self.pool, self.reachability, random.Random(seed), self._changed
        )

    def _changed(self) -> None:
        self.changes += 1

    def fall_silent(self, *places: int) -> None:
        """Report connections to searchers of the first domain as lost after silence."""
        for place in places:
            observed = self.of("hall-a")[place]
            observed.on_unreachable()
            self.reachability.on_unreachable("hall-a", observed.searcher.ip)

    def of(self, domain: str) -> list[ObservedSearcher]:
        return [one for one in self.fleet.all() if one.searcher.failure_domain == domain]

    def down(self) -> int:
        return sum(one.is_down for one in self.of("hall-a"))


class DomainChecksTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()

    def entry(self, is_unreachable, seed: int = 1) -> EntryView:
        return EntryView(self.timers, seed, is_unreachable)

    def test_unreachable_searchers_do_not_affect_others_in_their_domain(self):
        unreachable = {f"i-{shard}-0" for shard in range(0, SHARDS, 3)}
        entry = self.entry(lambda observed: observed.searcher.incarnation in unreachable)
        entry.fall_silent(0, 3)
        # Nearly all keep serving during the check. Earlier, all 87 waited for a new connection.
        self.assertLessEqual(entry.down(), 2 + SAMPLE_SIZE)
        self.timers.advance(VERIFY_TIMEOUT_MS)
        self.assertLessEqual(entry.down(), 2 + SAMPLE_SIZE)
        self.assertLessEqual(len(entry.pool.opened), SAMPLE_SIZE)
        self.assertEqual(entry.pool.suspended_searchers, [])

    def test_all_searchers_of_a_partitioned_domain_go_down_together(self):
        entry = self.entry(lambda observed: True)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_TIMEOUT_MS)
        self.assertEqual(entry.down(), SHARDS)
        self.assertEqual(entry.changes, 1)
        self.assertTrue(all(not one.is_down for one in entry.of("hall-b")))

    def test_domain_is_used_again_once_anything_is_heard_from_it(self):
        cut = True
        entry = self.entry(lambda observed: cut)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_TIMEOUT_MS)
        cut = False
        entry.checks.probe()
        self.timers.advance(10.0)
        # The two that were found down individually have been probed as well and are up.
        self.assertEqual((entry.down(), entry.changes), (0, 2))

    def test_searchers_found_down_individually_stay_down_until_reached(self):
        entry = self.entry(lambda observed: True)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_TIMEOUT_MS)
        entry.reachability.on_heard("hall-a")
        # The searchers of the sample were found down by their own connections.
        self.assertEqual(entry.down(), 2 + SAMPLE_SIZE)

    def test_restarted_or_moved_searchers_are_not_affected(self):
        entry = self.entry(lambda observed: True)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_TIMEOUT_MS)
        again = Searcher("i-9-0", "shard-9", "10.0.0.10", 80, "hall-a", 2, started_unix_ms=5)
        moved = Searcher("i-8-0", "shard-8", "10.0.0.99", 80, "hall-a", 2)
        for one in (again, moved):
            entry.fleet.put(one)
        entry.reachability.on_heard("hall-a")
        up = {one.searcher.incarnation for one in entry.of("hall-a") if not one.is_down}
        self.assertTrue({"i-8-0", "i-9-0"} <= up)

    def test_connections_per_searcher_stay_limited_when_a_partition_heals(self):
        cut = True
        entries = [self.entry(lambda observed: cut, seed) for seed in range(ENTRIES)]
        for entry in entries:
            entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_TIMEOUT_MS)
        cut = False
        opened: dict[str, int] = {}
        for entry in entries:
            entry.pool.opened.clear()
            entry.checks.probe()
            for one in entry.pool.opened:
                name = one.searcher.incarnation
                opened[name] = opened.get(name, 0) + 1
        # Except for the two that every entry has found down individually.
        highest = max(count for name, count in opened.items() if name not in ("i-0-0", "i-3-0"))
        self.assertLess(highest, MAX_CONNECTIONS / 4)
        self.timers.advance(10.0)
        self.assertEqual(sum(entry.down() for entry in entries), 0)
