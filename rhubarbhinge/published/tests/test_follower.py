"""Following the published state: no reverts; store entries are removed neither early nor late."""

import random
import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import DEFAULT_FRESHNESS, Changes, Follower, ReadFailure, Snapshot
from rhubarbhinge.published.tests.fake_source import FakeSource
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision


def plan(version: int) -> ServingPlan:
    return ServingPlan(version, (), {}, CallerLimits())


def searcher(name: str, draining: bool = False) -> Searcher:
    return Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, draining)


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.source = FakeSource()
        self.fleet = Fleet(self.timers.now_ms, lambda observed: None)
        self.plans: list[int] = []
        self.follower = Follower(
            self.timers,
            self.source,
            self.fleet,
            random.Random(1),
            lambda new: self.plans.append(new.version),
        )
        self.follower.start()

    def respond(self, outcome) -> None:
        self.source.respond(outcome)

    def known_incarnations(self) -> list[str]:
        return sorted(one.searcher.incarnation for one in self.fleet.all())

    def respond_with_list(self) -> None:
        self.respond(Snapshot(make_revision(10), plan(3), (searcher("i-1"), searcher("i-2"))))

    def fail_then_respond(self, outcome) -> None:
        self.respond(ReadFailure("timeout"))
        self.timers.advance(200.0)
        self.respond(outcome)

    def test_list_and_changes_are_applied(self):
        self.respond_with_list()
        self.assertEqual(self.source.calls, ["all", "after 10"])
        self.respond(Changes(make_revision(12), plan(5), (searcher("i-3"),), ("i-1",)))
        self.assertEqual((self.plans, self.known_incarnations()), ([3, 5], ["i-2", "i-3"]))
        self.timers.advance(300.0)
        self.assertEqual(self.source.calls[-1], "after 12")

    def test_plan_version_never_decreases(self):
        self.respond_with_list()
        self.respond(Changes(make_revision(12), plan(2)))
        self.follower.offer(Snapshot(make_revision(20), plan(1), ()))
        self.assertEqual(self.plans, [3])

    def test_older_state_of_peer_is_ignored(self):
        self.respond_with_list()
        self.follower.offer(Snapshot(make_revision(9), plan(2), (searcher("i-9"),)))
        self.assertEqual((self.plans, self.known_incarnations()), ([3], ["i-1", "i-2"]))
        self.assertEqual(self.follower.revision, make_revision(10))

    def test_newer_plan_lost_by_platform_is_adopted_from_older_state(self):
        self.respond_with_list()
        self.follower.offer(Snapshot(make_revision(9), plan(9), (searcher("i-9"),)))
        self.assertEqual((self.plans, self.known_incarnations()), ([3, 9], ["i-1", "i-2"]))
        self.assertEqual(self.follower.revision, make_revision(10))

    def test_newer_state_of_peer_is_applied(self):
        self.respond(ReadFailure("status-503"))
        self.assertTrue(self.follower.needs_peers)
        self.follower.offer(Snapshot(make_revision(15), plan(4), (searcher("i-9"),), 100.0))
        self.assertEqual((self.plans, self.known_incarnations()), ([4], ["i-9"]))
        self.assertTrue(self.follower.is_current())

    def test_failed_read_keeps_state_and_is_retried_with_backoff(self):
        self.respond_with_list()
        for _ in range(6):
            self.respond(ReadFailure("timeout"))
            self.timers.advance(1_400.0)
        self.assertEqual(self.known_incarnations(), ["i-1", "i-2"])
        self.assertEqual(len(self.source.calls), 8)
        self.respond(ReadFailure("status-429", overloaded=True))
        self.timers.advance(300.0)
        self.assertEqual(len(self.source.calls), 8)

    def test_lost_history_is_listed_again_at_once(self):
        self.respond_with_list()
        self.respond(ReadFailure("status-410", history_lost=True))
        self.assertEqual(self.source.calls[-1], "all")
        self.respond(Snapshot(make_revision(30), plan(4), (searcher("i-2"),)))
        self.assertEqual(self.known_incarnations(), ["i-2"])

    def test_history_lost_after_each_list_is_retried_with_backoff(self):
        handled = 0
        for _ in range(200):
            while handled < len(self.source.calls) < 1_000:
                handled = len(self.source.calls)
                if self.source.calls[-1] == "all":
                    self.respond(Snapshot(make_revision(5), plan(4), (searcher("i-2"),)))
                else:
                    self.respond(ReadFailure("status-410", history_lost=True))
            self.timers.advance(50.0)
        # 10 s with delays of 100, 200, 400, 800 and 1,000 ms, each less up to 30%.
        self.assertLess(self.source.calls.count("all"), 20)

    def test_entries_that_lapsed_during_an_outage_are_retained(self):
        self.respond_with_list()
        self.fail_then_respond(Changes(make_revision(20), None, (), ("i-1", "i-2")))
        self.assertEqual(self.known_incarnations(), ["i-1", "i-2"])
        self.timers.advance(300.0)
        self.respond(Changes(make_revision(21), None, (searcher("i-1"),)))
        self.timers.advance(2_500.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])

    def many_searchers(self) -> tuple[Searcher, ...]:
        return tuple(searcher(f"i-{number}") for number in range(10, 30))

    def test_mass_lapse_is_retained(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        self.timers.advance(3_000.0)
        self.respond(Changes(make_revision(20), None, (), names[:8]))
        self.assertEqual(len(self.known_incarnations()), 20)
        self.timers.advance(300.0)
        self.respond(Changes(make_revision(21), None, self.many_searchers()[:5], names[8:9]))
        self.timers.advance(300.0)
        self.assertEqual(len(self.known_incarnations()), 20)
        self.timers.advance(1_000.0)
        self.assertEqual(set(names) - set(self.known_incarnations()), set(names[5:9]))

    # Guards against requests to searchers that have left, at an entry that has read the platform by
    # others until now.
    def test_searchers_that_left_while_others_read_the_platform_are_removed_at_once(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        for _ in range(10):
            self.timers.advance(1_000.0)
            self.follower.on_peer_revision(make_revision(10), 20.0)
        self.timers.advance(2_000.0)
        self.respond(Changes(make_revision(20), None, (), names[:8]))
        self.assertEqual(self.known_incarnations(), sorted(names[8:]))

    def test_peers_do_not_extend_the_retention_of_lapsed_entries(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        self.timers.advance(3_000.0)
        self.respond(Changes(make_revision(20), None, (), names[:8]))
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        peer = Follower(self.timers, FakeSource(), fleet, random.Random(1), lambda new: None)
        self.timers.advance(500.0)
        peer.offer(self.follower.snapshot())
        self.assertEqual(len(list(fleet.all())), 20)
        self.timers.advance(900.0)
        self.assertEqual(len(list(fleet.all())), 20)
        self.timers.advance(200.0)
        self.assertEqual(len(list(fleet.all())), 12)

    def test_incremental_changes_include_lapsed_and_republished_entries(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        source = FakeSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        peer = Follower(self.timers, source, fleet, random.Random(1), lambda new: None)
        peer.start()
        source.respond(self.follower.snapshot())
        position = (self.follower.log.id, self.follower.log.position)
        self.timers.advance(3_000.0)
        self.respond(Changes(make_revision(20), None, (searcher("i-new"),), names[:8]))
        source.respond(self.follower.changes_since(*position))
        position = (self.follower.log.id, self.follower.log.position)
        self.assertEqual((peer.revision, len(list(fleet.all()))), (make_revision(20), 21))
        self.timers.advance(300.0)
        self.respond(Changes(make_revision(21), None, self.many_searchers()[:2]))
        source.respond(self.follower.changes_since(*position))
        # It receives nothing more, as if it read the platform itself from revision 21 on.
        self.timers.advance(1_500.0)
        removed = set(names) - {one.searcher.incarnation for one in fleet.all()}
        self.assertEqual(removed, set(names[2:8]))

    def test_many_entries_are_removed_at_once_if_the_platform_was_not_silent(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        self.timers.advance(1_000.0)
        self.respond(Changes(make_revision(20), None, (), names[:8]))
        self.assertEqual(len(self.known_incarnations()), 12)

    def test_draining_searcher_is_removed_at_once(self):
        self.respond(
            Snapshot(make_revision(10), plan(3), (searcher("i-1", draining=True), searcher("i-2")))
        )
        self.fail_then_respond(Changes(make_revision(20), None, (), ("i-1", "i-2")))
        self.assertEqual(self.known_incarnations(), ["i-2"])

    def test_many_entries_are_removed_at_once_if_a_peer_reports_it(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        # The peer has observed the grace period, which must not apply twice, even after an outage.
        self.fail_then_respond(Changes(make_revision(20), None, (), names[:8], 0.0, by_peer=True))
        self.assertEqual(len(self.known_incarnations()), 12)

    def test_few_entries_are_removed_at_once(self):
        self.respond(Snapshot(make_revision(10), plan(3), self.many_searchers()))
        names = tuple(one.incarnation for one in self.many_searchers())
        self.respond(Changes(make_revision(20), None, (), names[:3]))
        self.assertEqual(len(self.known_incarnations()), 17)

    def test_entry_is_removed_at_once_long_after_an_outage(self):
        self.respond_with_list()
        self.fail_then_respond(Changes(make_revision(20)))
        self.timers.advance(2_100.0)
        self.respond(Changes(make_revision(22), None, (), ("i-1",)))
        self.assertEqual(self.known_incarnations(), ["i-2"])

    def test_state_without_responses_is_not_current(self):
        self.assertFalse(self.follower.is_current())
        self.respond_with_list()
        self.timers.advance(DEFAULT_FRESHNESS.apply_within_ms)
        self.assertTrue(self.follower.is_current())
        self.timers.advance(1.0)
        self.assertFalse(self.follower.is_current())
        self.follower.on_peer_revision(make_revision(10), 50.0)
        self.assertTrue(self.follower.is_current())

    # Guards against 404 for a route that was added while this entry stood still.
    def test_message_that_waited_during_a_pause_does_not_confirm_the_state_as_of_now(self):
        self.respond_with_list()
        self.timers.stall(3_500.0)
        self.follower.on_peer_revision(make_revision(10), 50.0)
        self.assertFalse(self.follower.is_current())
        self.timers.advance(0.0)
        self.follower.on_peer_revision(make_revision(10), 50.0)
        self.assertTrue(self.follower.is_current())

    def test_older_revision_of_peer_does_not_confirm_the_state(self):
        self.respond_with_list()
        self.timers.advance(8_000.0)
        self.follower.on_peer_revision(make_revision(9), 50.0)
        self.follower.on_peer_revision(make_revision(10), -1.0)
        self.assertFalse(self.follower.is_current())

    def test_applied_changes_are_returned_to_followers(self):
        self.respond_with_list()
        log = self.follower.log
        position = log.position
        self.respond(
            Changes(make_revision(12), plan(5), (searcher("i-3"), searcher("i-2", True)), ("i-1",))
        )
        received = self.follower.changes_since(log.id, position)
        self.assertEqual((received.revision, received.plan.version), (make_revision(12), 5))
        self.assertEqual([one.incarnation for one in received.searchers], ["i-3", "i-2"])
        self.assertEqual((received.removed, received.by_peer), (("i-1",), True))
        unchanged = self.follower.changes_since(log.id, log.position)
        self.assertEqual((unchanged.plan, unchanged.searchers, unchanged.removed), (None, (), ()))

    def test_unknown_log_position_returns_the_full_state(self):
        self.respond_with_list()
        log = self.follower.log
        for log_id, position in (("other", 0), (log.id, log.position + 1), (log.id, -1)):
            self.assertEqual(
                self.follower.changes_since(log_id, position), self.follower.snapshot()
            )

    def test_changes_of_peer_are_followed_without_pause(self):
        self.respond_with_list()
        self.respond(Changes(make_revision(12), None, (searcher("i-3"),), (), 200.0, by_peer=True))
        self.timers.advance(0.0)
        self.assertEqual(self.source.calls[-1], "after 12")
        self.respond(Snapshot(make_revision(14), plan(6), (searcher("i-4"),), 100.0))
        self.assertEqual((self.plans, self.known_incarnations()), ([3, 6], ["i-4"]))
        self.timers.advance(0.0)
        self.assertEqual(self.source.calls[-1], "after 14")
