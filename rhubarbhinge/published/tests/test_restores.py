"""A platform that comes back from a copy of itself: what it lost, what it holds again, and when."""

import random
import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Evacuation, Follower, ReadFault, Snapshot
from rhubarbhinge.published.tests.fake_source import FakeSource
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision

GRACE_MS = 2_000.0
"""What searchers and operators wrote is back within this time."""
LEASE_MS = 5_000.0
"""A searcher that is still published after so long has written."""
SETTLED_MS = 8_000.0
"""So long after a return everything is asked for once more."""
HISTORY_LOST = ReadFault("status-410", history_lost=True)


def plan(version: int) -> ServingPlan:
    return ServingPlan(version, (), {}, CallerLimits())


def searcher(name: str, draining: bool = False) -> Searcher:
    return Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, draining)


FIRST = (searcher("i-1"), searcher("i-2"))


class RestoresCase(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.source, self.fleet, self.follower = self.follow()
        self.answer(Snapshot(make_revision(50, 1), plan(24), FIRST, evacuated=()))

    def follow(self) -> tuple[FakeSource, Fleet, Follower]:
        source = FakeSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        follower = Follower(self.timers, source, fleet, random.Random(1), lambda plan: None)
        follower.start()
        return source, fleet, follower

    def answer(self, outcome) -> None:
        self.source.answer(outcome)

    def restored(self, number: int = 40, era: int = 2, version: int = 22, **listed) -> None:
        """Have the watch find no history, and the list tell a later era."""
        self.answer(HISTORY_LOST)
        if self.source.asked[-1] != "all":
            self.timers.advance(150.0)
        listed = {"searchers": FIRST, "evacuated": ()} | listed
        self.answer(Snapshot(make_revision(number, era), plan(version), **listed))

    def changes(self, number: int, era: int = 2, **changes) -> None:
        self.timers.advance(300.0)
        self.answer(Changes(make_revision(number, era), **changes))

    def known(self) -> list[str]:
        return sorted(one.searcher.incarnation for one in self.fleet.all())

    def usable(self) -> list[str]:
        return sorted(one.searcher.incarnation for one in self.fleet.all() if one.usable)


class OrderTest(RestoresCase):
    def test_what_is_written_after_the_return_is_taken_though_its_revisions_are_lower(self):
        self.restored()
        self.assertEqual(self.source.asked[-1], "after 40")
        self.changes(42, plan=plan(28), searchers=(searcher("i-3"),))
        self.assertEqual((self.follower.plan.version, self.known()), (28, ["i-1", "i-2", "i-3"]))
        self.assertEqual(self.follower.revision, make_revision(42, 2))

    def test_the_configuration_does_not_go_back_to_that_of_the_copy(self):
        self.restored()
        self.assertEqual(
            (self.follower.plan.version, self.follower.revision), (24, make_revision(40, 2))
        )

    def test_a_watch_that_reaches_the_known_number_in_another_era_brings_a_list(self):
        self.answer(Changes(make_revision(51, 2), None, (searcher("i-9"),)))
        self.assertEqual((self.source.asked[-1], self.known()), ("all", ["i-1", "i-2"]))
        self.answer(Snapshot(make_revision(51, 2), plan(28), FIRST, evacuated=()))
        self.assertEqual((self.follower.plan.version, self.source.asked[-1]), (28, "after 51"))

    def test_a_watch_from_before_is_of_no_use_though_a_peer_told_its_era(self):
        self.follower.offer(Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=()))
        self.answer(Changes(make_revision(52, 2), None, (searcher("i-9"),)))
        self.assertEqual(
            (self.source.asked[-1], self.follower.revision), ("all", make_revision(40, 2))
        )

    def test_a_late_list_of_the_former_era_changes_and_confirms_nothing(self):
        self.answer(HISTORY_LOST)
        self.follower.offer(Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=()))
        self.timers.advance(6_900.0)
        self.answer(
            Snapshot(make_revision(60, 1), plan(23), (searcher("i-9"),), evacuated=("hall-a",))
        )
        self.assertEqual((self.known(), self.follower.evacuated), (["i-1", "i-2"], ()))
        self.timers.advance(200.0)
        self.assertFalse(self.follower.is_current())

    def test_an_era_that_only_peers_tell_is_followed(self):
        self.answer(ReadFault("timeout"))
        self.follower.offer(Snapshot(make_revision(30, 2), plan(28), FIRST, 5.0, evacuated=()))
        self.assertEqual(
            (self.follower.plan.version, self.follower.revision), (28, make_revision(30, 2))
        )
        self.timers.advance(8_000.0)
        self.follower.on_peer_revision(make_revision(30, 1), 5.0)
        self.assertFalse(self.follower.is_current())
        self.follower.on_peer_revision(make_revision(30, 2), 5.0)
        self.assertTrue(self.follower.is_current())

    def test_a_peer_of_the_former_era_that_is_further_in_numbers_is_behind(self):
        self.restored()
        self.follower.offer(
            Snapshot(make_revision(90, 1), plan(24), (), 5.0, evacuated=("hall-a",))
        )
        self.assertEqual((self.known(), self.follower.evacuated), (["i-1", "i-2"], ()))

    def test_two_returns_one_after_the_other(self):
        self.restored()
        self.restored(number=35, era=3)
        self.changes(36, era=3, plan=plan(28))
        self.assertEqual(
            (self.follower.plan.version, self.follower.revision), (28, make_revision(36, 3))
        )

    def test_a_first_list_that_may_be_old_yields_to_what_is_confirmed(self):
        source, fleet, follower = self.follow()
        source.answer(Snapshot(make_revision(56, 2), plan(24), FIRST, -1.0, evacuated=()))
        follower.offer(Snapshot(make_revision(40, 2), plan(22), FIRST[:1], 5.0, evacuated=()))
        self.assertEqual((follower.revision, follower.plan.version), (make_revision(40, 2), 24))
        source.answer(HISTORY_LOST)
        source.answer(Snapshot(make_revision(58, 2), plan(22), (), -1.0, evacuated=()))
        self.assertEqual(follower.revision, make_revision(40, 2))

    def test_who_follows_by_changes_hears_of_the_era(self):
        place = (self.follower.log.id, self.follower.log.position)
        source, fleet, follower = self.follow()
        source.answer(self.follower.snapshot())
        self.restored()
        self.changes(42, plan=plan(28))
        source.answer(self.follower.changes_since(*place))
        self.assertEqual((follower.plan.version, follower.revision), (28, make_revision(42, 2)))

    def test_a_platform_whose_answers_change_between_eras_is_called_with_pauses(self):
        answered = 0
        for step in range(200):
            while answered < len(self.source.asked) < 1_000:
                answered = len(self.source.asked)
                state = (
                    make_revision(40, 2)
                    if self.source.asked[-1] == "all"
                    else make_revision(45, 3 - step % 2 * 2)
                )
                listed = self.source.asked[-1] == "all"
                self.answer(Snapshot(state, plan(22), FIRST) if listed else Changes(state))
            self.timers.advance(50.0)
        # 10 s, with pauses of 100, 200, 400, 800 and 1,000 ms, less 30% each.
        self.assertLess(self.source.asked.count("all"), 20)


class SearchersTest(RestoresCase):
    def test_searchers_that_the_copy_lacks_are_kept_until_they_have_written(self):
        self.restored(searchers=FIRST[:1])
        self.timers.advance(300.0)
        self.answer(Changes(make_revision(41, 2), None, (searcher("i-2"),)))
        self.timers.advance(GRACE_MS)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_searchers_that_the_copy_lacks_and_that_do_not_write_are_gone(self):
        self.restored(searchers=FIRST[:1])
        self.timers.advance(GRACE_MS - 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.timers.advance(200.0)
        self.assertEqual(self.known(), ["i-1"])

    def test_also_where_a_peer_tells_that_never_knew_them(self):
        self.follower.offer(Snapshot(make_revision(40, 2), plan(24), FIRST[:1], 5.0, evacuated=()))
        self.timers.advance(GRACE_MS - 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.timers.advance(200.0)
        self.assertEqual(self.known(), ["i-1"])

    def test_a_second_return_gives_them_the_whole_time_again(self):
        self.restored(searchers=FIRST[:1])
        self.timers.advance(GRACE_MS - 400.0)
        self.restored(number=39, era=3, searchers=FIRST[:1])
        self.timers.advance(GRACE_MS - 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.timers.advance(200.0)
        self.assertEqual(self.known(), ["i-1"])

    def leave(self) -> None:
        """Have i-2 leave, and the copy hold it again."""
        self.changes(51, era=1, removed=("i-2",))
        self.timers.advance(300.0)
        self.restored()

    def test_a_searcher_that_had_left_and_stands_in_the_copy_gets_nothing(self):
        self.leave()
        self.timers.advance(LEASE_MS - 500.0)
        self.assertEqual(self.known(), ["i-1"])
        self.answer(Changes(make_revision(41, 2), None, (), ("i-2",)))
        self.timers.advance(LEASE_MS)
        self.assertEqual(self.known(), ["i-1"])

    def test_one_that_writes_again_is_used_at_once(self):
        self.leave()
        self.changes(41, searchers=(searcher("i-2"),))
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_one_whose_entry_outlasts_a_lease_lives(self):
        self.leave()
        self.timers.advance(LEASE_MS - 100.0)
        self.assertEqual(self.known(), ["i-1"])
        # Nobody has told since whether it was removed.
        self.timers.advance(600.0)
        self.assertEqual(self.known(), ["i-1"])
        self.answer(Changes(make_revision(40, 2)))
        self.timers.advance(600.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_it_is_no_more_proven_by_a_further_list_of_the_copy(self):
        self.leave()
        self.timers.advance(300.0)
        self.answer(HISTORY_LOST)
        self.answer(Snapshot(make_revision(41, 2), plan(22), FIRST, evacuated=()))
        self.assertEqual(self.known(), ["i-1"])
        self.timers.advance(400.0)
        self.answer(HISTORY_LOST)
        self.timers.advance(200.0)
        self.answer(Snapshot(make_revision(43, 2), plan(22), FIRST[:1], evacuated=()))
        self.timers.advance(LEASE_MS)
        self.assertEqual(self.known(), ["i-1"])

    def test_also_where_a_reader_that_did_not_know_it_tells_of_it(self):
        place = (self.follower.log.id, self.follower.log.position)
        source, fleet, follower = self.follow()
        source.answer(Snapshot(make_revision(51, 1), plan(24), FIRST[:1], evacuated=()))
        self.changes(51, era=1, removed=("i-2",))
        place = (follower.log.id, follower.log.position)
        source.answer(HISTORY_LOST)
        source.answer(Snapshot(make_revision(40, 2), plan(22), FIRST, evacuated=()))
        self.timers.advance(300.0)
        self.answer(follower.changes_since(*place))
        self.assertEqual((self.follower.revision, self.known()), (make_revision(40, 2), ["i-1"]))
        self.timers.advance(LEASE_MS)
        self.follower.on_peer_revision(make_revision(40, 2), 0.0)
        self.timers.advance(600.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_a_draining_searcher_that_the_copy_holds_as_ready_gets_nothing(self):
        self.changes(51, era=1, searchers=(searcher("i-2", draining=True),))
        self.timers.advance(300.0)
        self.restored()
        self.assertEqual(self.usable(), ["i-1"])
        source, fleet, follower = self.follow()
        source.answer(self.follower.snapshot())
        self.assertEqual([one.searcher.incarnation for one in fleet.all() if one.usable], ["i-1"])


class EvacuationsTest(RestoresCase):
    def test_an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again(self):
        self.changes(51, era=1, evacuations=(Evacuation("hall-a", True),))
        self.timers.advance(300.0)
        self.restored()
        self.assertEqual(self.usable(), [])
        self.changes(41, evacuations=(Evacuation("hall-a", True),))
        self.timers.advance(GRACE_MS)
        self.assertEqual(self.usable(), [])

    def test_one_that_is_not_written_again_is_over(self):
        self.changes(51, era=1, evacuations=(Evacuation("hall-a", True),))
        self.timers.advance(300.0)
        self.restored()
        self.timers.advance(GRACE_MS + 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_one_that_is_over_and_stands_in_the_copy_holds_until_its_end_is_written_again(self):
        self.restored(evacuated=("hall-a",))
        self.assertEqual(self.usable(), [])
        self.changes(41, evacuations=(Evacuation("hall-a", False),))
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_what_is_written_meanwhile_counts_at_once_and_for_good(self):
        self.restored()
        self.changes(41, evacuations=(Evacuation("hall-a", True),))
        self.assertEqual(self.usable(), [])
        self.timers.advance(GRACE_MS + 100.0)
        self.assertEqual(self.usable(), [])


class OnceMoreTest(RestoresCase):
    """What ends by time has no revision, so that an entry at the same one would not hear of it."""

    def test_everything_is_asked_for_once_more_when_all_is_settled(self):
        self.restored()
        self.changes(41)
        self.timers.advance(SETTLED_MS - 600.0)
        self.answer(Changes(make_revision(41, 2)))
        self.assertNotIn("for all", self.source.asked)
        self.timers.advance(300.0)
        self.answer(Changes(make_revision(41, 2)))
        self.timers.advance(300.0)
        self.assertEqual(self.source.asked[-2:], ["for all", "after 41"])
        self.answer(Snapshot(make_revision(41, 2), plan(24), FIRST[:1], evacuated=("hall-a",)))
        self.assertEqual((self.known(), self.follower.evacuated), (["i-1"], ("hall-a",)))
        self.timers.advance(300.0)
        self.assertEqual((self.source.asked[-1], self.follower.wants_all), ("after 41", False))

    def test_a_peer_that_is_just_as_far_tells_it_to_one_that_is_cut_off(self):
        state = Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=("hall-a",))
        self.follower.offer(state)
        self.assertEqual(self.follower.evacuated, ("hall-a",))
        # The evacuation was only kept for a while by the peer, and ends there.
        ended = Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=())
        self.timers.advance(SETTLED_MS - 100.0)
        self.follower.offer(ended)
        self.assertEqual(self.follower.evacuated, ("hall-a",))
        self.timers.advance(200.0)
        self.follower.offer(ended)
        self.assertEqual((self.follower.evacuated, self.follower.wants_all), ((), False))
