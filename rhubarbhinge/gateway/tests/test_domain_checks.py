"""Failure domains that may be out of reach, at 195 VMs with 87 shards of two searchers.

The load: a third of all searchers go dark at once, or a domain is cut off and comes back. In a
domain of 39 entries each entry hears a searcher's reply only every few hundred milliseconds, so
that two silent searchers look like a domain that is cut off. What an entry does then, 195 do at
once, and a searcher takes 120 connections from all of them: one from each is too many.
"""

import random
import unittest

from rhubarbhinge.fleet import DomainReachability, Fleet, ObservedSearcher, Searcher
from rhubarbhinge.gateway._domain_checks import SAMPLE, VERIFY_MS, DomainChecks
from rhubarbhinge.utils.fake_timers import FakeTimers

ENTRIES = 195
SHARDS = 87
DOMAINS = ("hall-a", "hall-b")
MOST_CONNECTIONS = 120
PROBE_MS = 250.0


class FakePool:
    """Notes the connections that are opened; those to searchers that can be reached succeed."""

    def __init__(self, timers: FakeTimers, reachability, is_dark):
        self._timers = timers
        self._reachability = reachability
        self._is_dark = is_dark
        self.opened: list[ObservedSearcher] = []
        self.aside: list[ObservedSearcher] = []

    def verify(self, observed: ObservedSearcher) -> None:
        observed.on_unreachable()
        self.open_ahead(observed)

    def suspend_searcher(self, observed: ObservedSearcher) -> None:
        observed.on_unreachable()
        self.aside.append(observed)

    def open_ahead(self, observed: ObservedSearcher) -> None:
        self.opened.append(observed)
        if not self._is_dark(observed):
            self._timers.after(8.0, lambda: self._connected(observed))

    def _connected(self, observed: ObservedSearcher) -> None:
        observed.on_connected(self._timers.now_ms())
        self._reachability.on_heard(observed.searcher.failure_domain)


class Entry:
    """One entry's view."""

    def __init__(self, timers: FakeTimers, seed: int, is_dark):
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
            lambda domain: self.checks.heard(domain),
        )
        self.pool = FakePool(timers, self.reachability, is_dark)
        self.checks = DomainChecks(
            timers, self.fleet, self.pool, self.reachability, random.Random(seed), self._changed
        )

    def _changed(self) -> None:
        self.changes += 1

    def fall_silent(self, *places: int) -> None:
        """Have connections to two searchers of the first domain end in silence."""
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

    def entry(self, is_dark, seed: int = 1) -> Entry:
        return Entry(self.timers, seed, is_dark)

    def test_searchers_that_go_dark_cost_the_others_of_their_domain_nothing(self):
        dark = {f"i-{shard}-0" for shard in range(0, SHARDS, 3)}
        entry = self.entry(lambda observed: observed.searcher.incarnation in dark)
        entry.fall_silent(0, 3)
        # Nearly all serve on while it is found out; before, all 87 waited for a new connection.
        self.assertLessEqual(entry.down(), 2 + SAMPLE)
        self.timers.advance(VERIFY_MS)
        self.assertLessEqual(entry.down(), 2 + SAMPLE)
        self.assertLessEqual(len(entry.pool.opened), SAMPLE)
        self.assertEqual(entry.pool.aside, [])

    def test_a_domain_that_is_cut_off_is_given_up_at_once_and_whole(self):
        entry = self.entry(lambda observed: True)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_MS)
        self.assertEqual(entry.down(), SHARDS)
        self.assertEqual(entry.changes, 1)
        self.assertTrue(all(not one.is_down for one in entry.of("hall-b")))

    def test_it_is_used_again_whole_as_soon_as_anything_is_heard_from_it(self):
        cut = True
        entry = self.entry(lambda observed: cut)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_MS)
        cut = False
        entry.checks.probe()
        self.timers.advance(10.0)
        # The two that were found out one by one have been probed as well, and are up.
        self.assertEqual((entry.down(), entry.changes), (0, 2))

    def test_those_that_were_found_out_alone_stay_down_until_they_are_reached(self):
        entry = self.entry(lambda observed: True)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_MS)
        entry.reachability.on_heard("hall-a")
        # The sample of the check was found out by its own connections.
        self.assertEqual(entry.down(), 2 + SAMPLE)

    def test_what_started_again_or_left_meanwhile_is_not_touched(self):
        entry = self.entry(lambda observed: True)
        entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_MS)
        again = Searcher("i-9-0", "shard-9", "10.0.0.10", 80, "hall-a", 2, started_unix_ms=5)
        moved = Searcher("i-8-0", "shard-8", "10.0.0.99", 80, "hall-a", 2)
        for one in (again, moved):
            entry.fleet.put(one)
        entry.reachability.on_heard("hall-a")
        up = {one.searcher.incarnation for one in entry.of("hall-a") if not one.is_down}
        self.assertTrue({"i-8-0", "i-9-0"} <= up)

    def test_no_searcher_gets_more_connections_than_it_takes_when_a_cut_heals(self):
        cut = True
        entries = [self.entry(lambda observed: cut, seed) for seed in range(ENTRIES)]
        for entry in entries:
            entry.fall_silent(0, 3)
        self.timers.advance(VERIFY_MS)
        cut = False
        opened: dict[str, int] = {}
        for entry in entries:
            entry.pool.opened.clear()
            entry.checks.probe()
            for one in entry.pool.opened:
                name = one.searcher.incarnation
                opened[name] = opened.get(name, 0) + 1
        # But for the two that every entry has found out for itself.
        most = max(count for name, count in opened.items() if name not in ("i-0-0", "i-3-0"))
        self.assertLess(most, MOST_CONNECTIONS / 4)
        self.timers.advance(10.0)
        self.assertEqual(sum(entry.down() for entry in entries), 0)
