"""Following what is published: never back, and nothing dropped too early or too late."""

import random
import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Follower, ReadFault, Snapshot
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

    def answer(self, outcome) -> None:
        self.source.answer(outcome)

    def known(self) -> list[str]:
        return sorted(one.searcher.incarnation for one in self.fleet.all())

    def listed(self) -> None:
        self.answer(Snapshot(make_revision(10), plan(3), (searcher("i-1"), searcher("i-2"))))

    def fail_and_return(self, outcome) -> None:
        self.answer(ReadFault("timeout"))
        self.timers.advance(200.0)
        self.answer(outcome)

    def test_a_list_and_its_changes_are_followed(self):
        self.listed()
        self.assertEqual(self.source.asked, ["all", "after 10"])
        self.answer(Changes(make_revision(12), plan(5), (searcher("i-3"),), ("i-1",)))
        self.assertEqual((self.plans, self.known()), ([3, 5], ["i-2", "i-3"]))
        self.timers.advance(300.0)
        self.assertEqual(self.source.asked[-1], "after 12")

    def test_the_version_never_goes_back(self):
        self.listed()
        self.answer(Changes(make_revision(12), plan(2)))
        self.follower.offer(Snapshot(make_revision(20), plan(1), ()))
        self.assertEqual(self.plans, [3])

    def test_an_older_state_of_a_peer_changes_nothing(self):
        self.listed()
        self.follower.offer(Snapshot(make_revision(9), plan(2), (searcher("i-9"),)))
        self.assertEqual((self.plans, self.known()), ([3], ["i-1", "i-2"]))
        self.assertEqual(self.follower.revision, make_revision(10))

    def test_of_an_older_state_a_newer_configuration_that_the_platform_lost_is_taken(self):
        self.listed()
        self.follower.offer(Snapshot(make_revision(9), plan(9), (searcher("i-9"),)))
        self.assertEqual((self.plans, self.known()), ([3, 9], ["i-1", "i-2"]))
        self.assertEqual(self.follower.revision, make_revision(10))

    def test_a_newer_state_of_a_peer_is_taken(self):
        self.answer(ReadFault("status-503"))
        self.assertTrue(self.follower.needs_peers)
        self.follower.offer(Snapshot(make_revision(15), plan(4), (searcher("i-9"),), 100.0))
        self.assertEqual((self.plans, self.known()), ([4], ["i-9"]))
        self.assertTrue(self.follower.is_current())

    def test_a_failed_read_keeps_the_state_and_is_repeated_with_growing_pauses(self):
        self.listed()
        for _ in range(6):
            self.answer(ReadFault("timeout"))
            self.timers.advance(1_400.0)
        self.assertEqual(self.known(), ["i-1", "i-2"])
        self.assertEqual(len(self.source.asked), 8)
        self.answer(ReadFault("status-429", overloaded=True))
        self.timers.advance(300.0)
        self.assertEqual(len(self.source.asked), 8)

    def test_lost_history_is_listed_again_at_once(self):
        self.listed()
        self.answer(ReadFault("status-410", history_lost=True))
        self.assertEqual(self.source.asked[-1], "all")
        self.answer(Snapshot(make_revision(30), plan(4), (searcher("i-2"),)))
        self.assertEqual(self.known(), ["i-2"])

    def test_a_platform_that_forgets_after_each_list_is_not_called_without_pauses(self):
        answered = 0
        for _ in range(200):
            while answered < len(self.source.asked) < 1_000:
                answered = len(self.source.asked)
                if self.source.asked[-1] == "all":
                    self.answer(Snapshot(make_revision(5), plan(4), (searcher("i-2"),)))
                else:
                    self.answer(ReadFault("status-410", history_lost=True))
            self.timers.advance(50.0)
        # 10 s, with pauses of 100, 200, 400, 800 and 1,000 ms, less 30% each.
        self.assertLess(self.source.asked.count("all"), 20)

    def test_entries_that_lapsed_while_the_platform_was_away_may_come_back(self):
        self.listed()
        self.fail_and_return(Changes(make_revision(20), None, (), ("i-1", "i-2")))
        self.assertEqual(self.known(), ["i-1", "i-2"])
        self.timers.advance(300.0)
        self.answer(Changes(make_revision(21), None, (searcher("i-1"),)))
        self.timers.advance(2_500.0)
        self.assertEqual(self.known(), ["i-1"])

    def many(self) -> tuple[Searcher, ...]:
        return tuple(searcher(f"i-{number}") for number in range(10, 30))

    def test_many_entries_that_vanish_at_once_may_come_back(self):
        self.answer(Snapshot(make_revision(10), plan(3), self.many()))
        names = tuple(one.incarnation for one in self.many())
        self.timers.advance(3_000.0)
        self.answer(Changes(make_revision(20), None, (), names[:8]))
        self.assertEqual(len(self.known()), 20)
        self.timers.advance(300.0)
        self.answer(Changes(make_revision(21), None, self.many()[:5], names[8:9]))
        self.timers.advance(300.0)
        self.assertEqual(len(self.known()), 20)
        self.timers.advance(1_000.0)
        self.assertEqual(set(names) - set(self.known()), set(names[5:9]))

    def test_what_is_kept_for_a_while_is_not_kept_for_ever_by_peers(self):
        self.answer(Snapshot(make_revision(10), plan(3), self.many()))
        names = tuple(one.incarnation for one in self.many())
        self.timers.advance(3_000.0)
        self.answer(Changes(make_revision(20), None, (), names[:8]))
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        peer = Follower(self.timers, FakeSource(), fleet, random.Random(1), lambda new: None)
        self.timers.advance(500.0)
        peer.offer(self.follower.snapshot())
        self.assertEqual(len(list(fleet.all())), 20)
        self.timers.advance(900.0)
        self.assertEqual(len(list(fleet.all())), 20)
        self.timers.advance(200.0)
        self.assertEqual(len(list(fleet.all())), 12)

    def test_who_follows_by_changes_hears_what_is_kept_and_what_came_back(self):
        self.answer(Snapshot(make_revision(10), plan(3), self.many()))
        names = tuple(one.incarnation for one in self.many())
        source = FakeSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        peer = Follower(self.timers, source, fleet, random.Random(1), lambda new: None)
        peer.start()
        source.answer(self.follower.snapshot())
        place = (self.follower.log.id, self.follower.log.position)
        self.timers.advance(3_000.0)
        self.answer(Changes(make_revision(20), None, (searcher("i-new"),), names[:8]))
        source.answer(self.follower.changes_since(*place))
        place = (self.follower.log.id, self.follower.log.position)
        self.assertEqual((peer.revision, len(list(fleet.all()))), (make_revision(20), 21))
        self.timers.advance(300.0)
        self.answer(Changes(make_revision(21), None, self.many()[:2]))
        source.answer(self.follower.changes_since(*place))
        # From now on it hears nothing more, as when it reads the platform itself, from 21 on.
        self.timers.advance(1_500.0)
        gone = set(names) - {one.searcher.incarnation for one in fleet.all()}
        self.assertEqual(gone, set(names[2:8]))

    def test_many_entries_that_vanish_while_the_platform_talks_are_gone_at_once(self):
        self.answer(Snapshot(make_revision(10), plan(3), self.many()))
        names = tuple(one.incarnation for one in self.many())
        self.timers.advance(1_000.0)
        self.answer(Changes(make_revision(20), None, (), names[:8]))
        self.assertEqual(len(self.known()), 12)

    def test_a_draining_searcher_that_vanishes_is_gone_at_once(self):
        self.answer(
            Snapshot(make_revision(10), plan(3), (searcher("i-1", draining=True), searcher("i-2")))
        )
        self.fail_and_return(Changes(make_revision(20), None, (), ("i-1", "i-2")))
        self.assertEqual(self.known(), ["i-2"])

    def test_many_entries_that_a_peer_has_seen_vanish_are_gone(self):
        self.answer(Snapshot(make_revision(10), plan(3), self.many()))
        names = tuple(one.incarnation for one in self.many())
        # Also just after the platform's return: the peer has waited for them, twice is too long.
        self.fail_and_return(Changes(make_revision(20), None, (), names[:8], 0.0, by_peer=True))
        self.assertEqual(len(self.known()), 12)

    def test_a_few_entries_that_vanish_are_gone_at_once(self):
        self.answer(Snapshot(make_revision(10), plan(3), self.many()))
        names = tuple(one.incarnation for one in self.many())
        self.answer(Changes(make_revision(20), None, (), names[:3]))
        self.assertEqual(len(self.known()), 17)

    def test_an_entry_that_goes_long_after_the_return_is_gone_at_once(self):
        self.listed()
        self.fail_and_return(Changes(make_revision(20)))
        self.timers.advance(2_100.0)
        self.answer(Changes(make_revision(22), None, (), ("i-1",)))
        self.assertEqual(self.known(), ["i-2"])

    def test_without_an_answer_the_state_is_no_longer_current(self):
        self.assertFalse(self.follower.is_current())
        self.listed()
        self.timers.advance(6_000.0)
        self.assertTrue(self.follower.is_current())
        self.timers.advance(2_000.0)
        self.assertFalse(self.follower.is_current())
        self.follower.on_peer_revision(make_revision(10), 50.0)
        self.assertTrue(self.follower.is_current())

    def test_a_peer_that_is_behind_confirms_nothing(self):
        self.listed()
        self.timers.advance(8_000.0)
        self.follower.on_peer_revision(make_revision(9), 50.0)
        self.follower.on_peer_revision(make_revision(10), -1.0)
        self.assertFalse(self.follower.is_current())

    def test_what_was_taken_over_is_told_to_those_that_follow(self):
        self.listed()
        log = self.follower.log
        place = log.position
        self.answer(
            Changes(make_revision(12), plan(5), (searcher("i-3"), searcher("i-2", True)), ("i-1",))
        )
        told = self.follower.changes_since(log.id, place)
        self.assertEqual((told.revision, told.plan.version), (make_revision(12), 5))
        self.assertEqual([one.incarnation for one in told.searchers], ["i-3", "i-2"])
        self.assertEqual((told.removed, told.by_peer), (("i-1",), True))
        again = self.follower.changes_since(log.id, log.position)
        self.assertEqual((again.plan, again.searchers, again.removed), (None, (), ()))

    def test_a_place_that_is_not_known_brings_everything(self):
        self.listed()
        log = self.follower.log
        for log_id, place in (("other", 0), (log.id, log.position + 1), (log.id, -1)):
            self.assertEqual(self.follower.changes_since(log_id, place), self.follower.snapshot())

    def test_changes_of_a_peer_are_followed_without_a_pause(self):
        self.listed()
        self.answer(Changes(make_revision(12), None, (searcher("i-3"),), (), 200.0, by_peer=True))
        self.timers.advance(0.0)
        self.assertEqual(self.source.asked[-1], "after 12")
        self.answer(Snapshot(make_revision(14), plan(6), (searcher("i-4"),), 100.0))
        self.assertEqual((self.plans, self.known()), ([3, 6], ["i-4"]))
        self.timers.advance(0.0)
        self.assertEqual(self.source.asked[-1], "after 14")
