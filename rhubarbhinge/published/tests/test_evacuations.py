"""Following which failure domains are evacuated: never back, and not undone by an outage."""

import random
import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Evacuation, Follower, ReadFault, Snapshot
from rhubarbhinge.published.tests.fake_source import FakeSource
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision

PLAN = ServingPlan(3, (), {}, CallerLimits())
SEARCHERS = tuple(
    Searcher(f"i-{domain}", "shard", "10.0.0.1", 80, domain, 2) for domain in ("hall-a", "hall-b")
)
BEGUN = Evacuation("hall-b", True)
ENDED = Evacuation("hall-b", False)


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.source, self.fleet, self.follower = self.follow()

    def follow(self) -> tuple[FakeSource, Fleet, Follower]:
        source = FakeSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        follower = Follower(self.timers, source, fleet, random.Random(1), lambda plan: None)
        follower.start()
        return source, fleet, follower

    def listed(self, revision: int = 10, evacuated: tuple[str, ...] | None = ()) -> None:
        self.source.answer(Snapshot(make_revision(revision), PLAN, SEARCHERS, evacuated=evacuated))

    def used(self, fleet: Fleet | None = None) -> list[str]:
        fleet = fleet or self.fleet
        return sorted(one.searcher.failure_domain for one in fleet.all() if one.usable)

    def test_an_evacuation_is_listed(self):
        self.listed(evacuated=("hall-b",))
        self.assertEqual(self.used(), ["hall-a"])

    def test_an_evacuation_is_watched_and_taken_back(self):
        self.listed()
        self.source.answer(Changes(make_revision(12), evacuations=(BEGUN,)))
        self.assertEqual(self.used(), ["hall-a"])
        self.timers.advance(300.0)
        self.source.answer(Changes(make_revision(13), evacuations=(ENDED,)))
        self.assertEqual(self.used(), ["hall-a", "hall-b"])

    def test_a_searcher_that_comes_to_an_evacuated_domain_is_not_used(self):
        self.listed(evacuated=("hall-b",))
        self.source.answer(
            Changes(
                make_revision(12), None, (Searcher("i-3", "shard", "10.0.0.3", 80, "hall-b", 2),)
            )
        )
        self.assertEqual(self.used(), ["hall-a"])

    def test_an_outage_keeps_it(self):
        self.listed(evacuated=("hall-b",))
        for _ in range(5):
            self.source.answer(ReadFault("timeout"))
            self.timers.advance(1_400.0)
        self.assertEqual(self.used(), ["hall-a"])

    def test_an_older_state_of_a_peer_does_not_take_it_back(self):
        self.listed()
        self.source.answer(Changes(make_revision(12), evacuations=(BEGUN,)))
        self.follower.offer(Snapshot(make_revision(11), PLAN, SEARCHERS, 5.0, evacuated=()))
        self.follower._apply(Changes(make_revision(11), by_peer=True, evacuations=(ENDED,)))
        self.assertEqual(self.used(), ["hall-a"])

    def test_a_newer_state_of_a_peer_is_taken(self):
        self.listed()
        self.follower.offer(
            Snapshot(make_revision(12), PLAN, SEARCHERS, 5.0, evacuated=("hall-b",))
        )
        self.assertEqual(self.used(), ["hall-a"])
        self.follower.offer(Snapshot(make_revision(13), PLAN, SEARCHERS, 5.0, evacuated=()))
        self.assertEqual(self.used(), ["hall-a", "hall-b"])

    def test_an_entry_of_an_earlier_release_that_tells_nothing_of_it_takes_nothing_back(self):
        self.listed(evacuated=("hall-b",))
        self.follower.offer(Snapshot(make_revision(12), PLAN, SEARCHERS, 5.0, evacuated=None))
        self.assertEqual(self.used(), ["hall-a"])

    def test_what_happened_while_the_history_was_lost_is_taken_from_the_list(self):
        for before, after, used in (
            ((), ("hall-b",), ["hall-a"]),
            (("hall-b",), (), ["hall-a", "hall-b"]),
        ):
            with self.subTest(after=after):
                self.source, self.fleet, self.follower = self.follow()
                self.listed(10, before)
                self.source.answer(ReadFault("status-410", history_lost=True))
                self.listed(20, after)
                self.assertEqual(self.used(), used)

    def test_those_that_follow_this_entry_hear_of_it(self):
        self.listed()
        source, fleet, _ = self.follow()
        source.answer(self.follower.snapshot())
        log = self.follower.log
        for evacuation, used in ((BEGUN, ["hall-a"]), (ENDED, ["hall-a", "hall-b"])):
            place = log.position
            self.source.answer(
                Changes(make_revision(self.follower.revision.number + 1), evacuations=(evacuation,))
            )
            source.answer(self.follower.changes_since(log.id, place))
            self.timers.advance(300.0)
            self.assertEqual(self.used(fleet), used)
        self.source.answer(Changes(make_revision(30), evacuations=(BEGUN,)))
        source, fleet, _ = self.follow()
        source.answer(self.follower.snapshot())
        self.assertEqual(self.used(fleet), ["hall-a"])

    def test_of_several_changes_the_newest_counts(self):
        self.listed()
        log, place = self.follower.log, self.follower.log.position
        for revision, evacuation in ((12, BEGUN), (13, ENDED), (14, BEGUN)):
            self.source.answer(Changes(make_revision(revision), evacuations=(evacuation,)))
            self.timers.advance(300.0)
        self.assertEqual(self.follower.changes_since(log.id, place).evacuations, (BEGUN,))

    def test_two_domains_at_once(self):
        self.listed()
        self.source.answer(
            Changes(make_revision(12), evacuations=(BEGUN, Evacuation("hall-a", True)))
        )
        self.assertEqual(self.used(), [])
        self.timers.advance(300.0)
        self.source.answer(Changes(make_revision(13), evacuations=(ENDED,)))
        self.assertEqual(self.used(), ["hall-b"])
