"""Following evacuations of failure domains, which neither older states nor outages undo."""

import random
import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Evacuation, Follower, ReadFailure, Snapshot
from rhubarbhinge.published.tests.fake_source import FakeSource
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision

PLAN = ServingPlan(3, (), {}, CallerLimits())
SEARCHERS = tuple(
    Searcher(f"i-{domain}", "shard", "10.0.0.1", 80, domain, 2) for domain in ("hall-a", "hall-b")
)
STARTED = Evacuation("hall-b", True)
ENDED = Evacuation("hall-b", False)


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.source, self.fleet, self.follower = self.make_follower()

    def make_follower(self) -> tuple[FakeSource, Fleet, Follower]:
        source = FakeSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        follower = Follower(self.timers, source, fleet, random.Random(1), lambda plan: None)
        follower.start()
        return source, fleet, follower

    def respond_with_list(self, revision: int = 10, evacuated: tuple[str, ...] | None = ()) -> None:
        self.source.respond(Snapshot(make_revision(revision), PLAN, SEARCHERS, evacuated=evacuated))

    def usable_domains(self, fleet: Fleet | None = None) -> list[str]:
        fleet = fleet or self.fleet
        return sorted(one.searcher.failure_domain for one in fleet.all() if one.usable)

    def test_listed_evacuation_is_applied(self):
        self.respond_with_list(evacuated=("hall-b",))
        self.assertEqual(self.usable_domains(), ["hall-a"])

    def test_evacuation_changes_are_applied(self):
        self.respond_with_list()
        self.source.respond(Changes(make_revision(12), evacuations=(STARTED,)))
        self.assertEqual(self.usable_domains(), ["hall-a"])
        self.timers.advance(300.0)
        self.source.respond(Changes(make_revision(13), evacuations=(ENDED,)))
        self.assertEqual(self.usable_domains(), ["hall-a", "hall-b"])

    def test_searcher_added_to_evacuated_domain_is_not_used(self):
        self.respond_with_list(evacuated=("hall-b",))
        self.source.respond(
            Changes(
                make_revision(12), None, (Searcher("i-3", "shard", "10.0.0.3", 80, "hall-b", 2),)
            )
        )
        self.assertEqual(self.usable_domains(), ["hall-a"])

    def test_evacuation_persists_during_an_outage(self):
        self.respond_with_list(evacuated=("hall-b",))
        for _ in range(5):
            self.source.respond(ReadFailure("timeout"))
            self.timers.advance(1_400.0)
        self.assertEqual(self.usable_domains(), ["hall-a"])

    def test_older_state_of_peer_does_not_end_an_evacuation(self):
        self.respond_with_list()
        self.source.respond(Changes(make_revision(12), evacuations=(STARTED,)))
        self.follower.offer(Snapshot(make_revision(11), PLAN, SEARCHERS, 5.0, evacuated=()))
        self.follower._apply_changes(Changes(make_revision(11), by_peer=True, evacuations=(ENDED,)))
        self.assertEqual(self.usable_domains(), ["hall-a"])

    def test_newer_state_of_peer_is_applied(self):
        self.respond_with_list()
        self.follower.offer(
            Snapshot(make_revision(12), PLAN, SEARCHERS, 5.0, evacuated=("hall-b",))
        )
        self.assertEqual(self.usable_domains(), ["hall-a"])
        self.follower.offer(Snapshot(make_revision(13), PLAN, SEARCHERS, 5.0, evacuated=()))
        self.assertEqual(self.usable_domains(), ["hall-a", "hall-b"])

    def test_state_of_earlier_release_without_evacuations_ends_none(self):
        self.respond_with_list(evacuated=("hall-b",))
        self.follower.offer(Snapshot(make_revision(12), PLAN, SEARCHERS, 5.0, evacuated=None))
        self.assertEqual(self.usable_domains(), ["hall-a"])

    def test_changes_missed_by_lost_history_are_taken_from_the_list(self):
        for before, after, expected in (
            ((), ("hall-b",), ["hall-a"]),
            (("hall-b",), (), ["hall-a", "hall-b"]),
        ):
            with self.subTest(after=after):
                self.source, self.fleet, self.follower = self.make_follower()
                self.respond_with_list(10, before)
                self.source.respond(ReadFailure("status-410", history_lost=True))
                self.respond_with_list(20, after)
                self.assertEqual(self.usable_domains(), expected)

    def test_followers_receive_evacuations(self):
        self.respond_with_list()
        source, fleet, _ = self.make_follower()
        source.respond(self.follower.snapshot())
        log = self.follower.log
        for evacuation, expected in ((STARTED, ["hall-a"]), (ENDED, ["hall-a", "hall-b"])):
            position = log.position
            self.source.respond(
                Changes(make_revision(self.follower.revision.number + 1), evacuations=(evacuation,))
            )
            source.respond(self.follower.changes_since(log.id, position))
            self.timers.advance(300.0)
            self.assertEqual(self.usable_domains(fleet), expected)
        self.source.respond(Changes(make_revision(30), evacuations=(STARTED,)))
        source, fleet, _ = self.make_follower()
        source.respond(self.follower.snapshot())
        self.assertEqual(self.usable_domains(fleet), ["hall-a"])

    def test_latest_of_several_changes_counts(self):
        self.respond_with_list()
        log, position = self.follower.log, self.follower.log.position
        for revision, evacuation in ((12, STARTED), (13, ENDED), (14, STARTED)):
            self.source.respond(Changes(make_revision(revision), evacuations=(evacuation,)))
            self.timers.advance(300.0)
        self.assertEqual(self.follower.changes_since(log.id, position).evacuations, (STARTED,))

    def test_two_domains_are_evacuated_at_once(self):
        self.respond_with_list()
        self.source.respond(
            Changes(make_revision(12), evacuations=(STARTED, Evacuation("hall-a", True)))
        )
        self.assertEqual(self.usable_domains(), [])
        self.timers.advance(300.0)
        self.source.respond(Changes(make_revision(13), evacuations=(ENDED,)))
        self.assertEqual(self.usable_domains(), ["hall-b"])
