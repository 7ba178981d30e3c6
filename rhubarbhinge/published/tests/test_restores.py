"""A platform that is restored from a backup, which lacks store entries or holds obsolete ones."""

import random
import unittest

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import CallerLimits, ServingPlan
from rhubarbhinge.published import Changes, Evacuation, Follower, ReadFailure, Snapshot
from rhubarbhinge.published.tests.fake_source import FakeSource
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision

REWRITE_GRACE_MS = 2_000.0
"""Time within which searchers and operators write their store entries again."""
VERIFICATION_MS = 5_000.0
"""A searcher that is still published after this time has written again."""
RESYNC_DELAY_MS = 8_000.0
"""Time after a restore at which the full state is requested once more."""
HISTORY_LOST = ReadFailure("status-410", history_lost=True)


def plan(version: int) -> ServingPlan:
    return ServingPlan(version, (), {}, CallerLimits())


def searcher(name: str, draining: bool = False) -> Searcher:
    return Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, draining)


FIRST = (searcher("i-1"), searcher("i-2"))


class RestoresCase(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.source, self.fleet, self.follower = self.make_follower()
        self.respond(Snapshot(make_revision(50, 1), plan(24), FIRST, evacuated=()))

    def make_follower(self) -> tuple[FakeSource, Fleet, Follower]:
        source = FakeSource()
        fleet = Fleet(self.timers.now_ms, lambda observed: None)
        follower = Follower(self.timers, source, fleet, random.Random(1), lambda plan: None)
        follower.start()
        return source, fleet, follower

    def respond(self, outcome) -> None:
        self.source.respond(outcome)

    def restore_platform(self, number: int = 40, era: int = 2, version: int = 22, **listed) -> None:
        """Make the watch report lost history, and the list a later era."""
        self.respond(HISTORY_LOST)
        if self.source.calls[-1] != "all":
            self.timers.advance(150.0)
        listed = {"searchers": FIRST, "evacuated": ()} | listed
        self.respond(Snapshot(make_revision(number, era), plan(version), **listed))

    def send_changes(self, number: int, era: int = 2, **changes) -> None:
        self.timers.advance(300.0)
        self.respond(Changes(make_revision(number, era), **changes))

    def known_incarnations(self) -> list[str]:
        return sorted(one.searcher.incarnation for one in self.fleet.all())

    def usable(self) -> list[str]:
        return sorted(one.searcher.incarnation for one in self.fleet.all() if one.usable)


class OrderTest(RestoresCase):
    def test_changes_after_restore_are_applied_despite_lower_revisions(self):
        self.restore_platform()
        self.assertEqual(self.source.calls[-1], "after 40")
        self.send_changes(42, plan=plan(28), searchers=(searcher("i-3"),))
        self.assertEqual(
            (self.follower.plan.version, self.known_incarnations()), (28, ["i-1", "i-2", "i-3"])
        )
        self.assertEqual(self.follower.revision, make_revision(42, 2))

    def test_plan_does_not_revert_to_that_of_the_backup(self):
        self.restore_platform()
        self.assertEqual(
            (self.follower.plan.version, self.follower.revision), (24, make_revision(40, 2))
        )

    def test_watch_result_of_another_era_triggers_a_list(self):
        self.respond(Changes(make_revision(51, 2), None, (searcher("i-9"),)))
        self.assertEqual(
            (self.source.calls[-1], self.known_incarnations()), ("all", ["i-1", "i-2"])
        )
        self.respond(Snapshot(make_revision(51, 2), plan(28), FIRST, evacuated=()))
        self.assertEqual((self.follower.plan.version, self.source.calls[-1]), (28, "after 51"))

    def test_watch_started_before_restore_triggers_a_list_after_peer_reported_its_era(self):
        self.follower.offer(Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=()))
        self.respond(Changes(make_revision(52, 2), None, (searcher("i-9"),)))
        self.assertEqual(
            (self.source.calls[-1], self.follower.revision), ("all", make_revision(40, 2))
        )

    def test_late_list_of_former_era_is_ignored(self):
        self.respond(HISTORY_LOST)
        self.follower.offer(Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=()))
        self.timers.advance(6_900.0)
        self.respond(
            Snapshot(make_revision(60, 1), plan(23), (searcher("i-9"),), evacuated=("hall-a",))
        )
        self.assertEqual((self.known_incarnations(), self.follower.evacuated), (["i-1", "i-2"], ()))
        self.timers.advance(200.0)
        self.assertFalse(self.follower.is_current())

    def test_era_reported_only_by_peers_is_followed(self):
        self.respond(ReadFailure("timeout"))
        self.follower.offer(Snapshot(make_revision(30, 2), plan(28), FIRST, 5.0, evacuated=()))
        self.assertEqual(
            (self.follower.plan.version, self.follower.revision), (28, make_revision(30, 2))
        )
        self.timers.advance(8_000.0)
        self.follower.on_peer_revision(make_revision(30, 1), 5.0)
        self.assertFalse(self.follower.is_current())
        self.follower.on_peer_revision(make_revision(30, 2), 5.0)
        self.assertTrue(self.follower.is_current())

    def test_peer_of_former_era_with_higher_number_is_behind(self):
        self.restore_platform()
        self.follower.offer(
            Snapshot(make_revision(90, 1), plan(24), (), 5.0, evacuated=("hall-a",))
        )
        self.assertEqual((self.known_incarnations(), self.follower.evacuated), (["i-1", "i-2"], ()))

    def test_two_successive_restores(self):
        self.restore_platform()
        self.restore_platform(number=35, era=3)
        self.send_changes(36, era=3, plan=plan(28))
        self.assertEqual(
            (self.follower.plan.version, self.follower.revision), (28, make_revision(36, 3))
        )

    def test_stale_first_list_yields_to_confirmed_state(self):
        source, fleet, follower = self.make_follower()
        source.respond(Snapshot(make_revision(56, 2), plan(24), FIRST, -1.0, evacuated=()))
        follower.offer(Snapshot(make_revision(40, 2), plan(22), FIRST[:1], 5.0, evacuated=()))
        self.assertEqual((follower.revision, follower.plan.version), (make_revision(40, 2), 24))
        source.respond(HISTORY_LOST)
        source.respond(Snapshot(make_revision(58, 2), plan(22), (), -1.0, evacuated=()))
        self.assertEqual(follower.revision, make_revision(40, 2))

    def test_incremental_followers_learn_the_era(self):
        position = (self.follower.log.id, self.follower.log.position)
        source, fleet, follower = self.make_follower()
        source.respond(self.follower.snapshot())
        self.restore_platform()
        self.send_changes(42, plan=plan(28))
        source.respond(self.follower.changes_since(*position))
        self.assertEqual((follower.plan.version, follower.revision), (28, make_revision(42, 2)))

    def test_responses_alternating_between_eras_are_retried_with_backoff(self):
        handled = 0
        for step in range(200):
            while handled < len(self.source.calls) < 1_000:
                handled = len(self.source.calls)
                state = (
                    make_revision(40, 2)
                    if self.source.calls[-1] == "all"
                    else make_revision(45, 3 - step % 2 * 2)
                )
                listed = self.source.calls[-1] == "all"
                self.respond(Snapshot(state, plan(22), FIRST) if listed else Changes(state))
            self.timers.advance(50.0)
        # 10 s with delays of 100, 200, 400, 800 and 1,000 ms, each less up to 30%.
        self.assertLess(self.source.calls.count("all"), 20)


class SearchersTest(RestoresCase):
    def test_searcher_missing_in_backup_is_retained_until_it_writes(self):
        self.restore_platform(searchers=FIRST[:1])
        self.timers.advance(300.0)
        self.respond(Changes(make_revision(41, 2), None, (searcher("i-2"),)))
        self.timers.advance(REWRITE_GRACE_MS)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_searcher_missing_in_backup_is_removed_if_it_does_not_write(self):
        self.restore_platform(searchers=FIRST[:1])
        self.timers.advance(REWRITE_GRACE_MS - 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.timers.advance(200.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])

    def test_searcher_unknown_to_peer_is_removed_after_the_grace_period(self):
        self.follower.offer(Snapshot(make_revision(40, 2), plan(24), FIRST[:1], 5.0, evacuated=()))
        self.timers.advance(REWRITE_GRACE_MS - 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.timers.advance(200.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])

    def test_second_restore_restarts_the_grace_period(self):
        self.restore_platform(searchers=FIRST[:1])
        self.timers.advance(REWRITE_GRACE_MS - 400.0)
        self.restore_platform(number=39, era=3, searchers=FIRST[:1])
        self.timers.advance(REWRITE_GRACE_MS - 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])
        self.timers.advance(200.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])

    def restore_after_removal(self) -> None:
        """Remove i-2, then restore a backup that includes it."""
        self.send_changes(51, era=1, removed=("i-2",))
        self.timers.advance(300.0)
        self.restore_platform()

    def test_removed_searcher_in_backup_is_not_used(self):
        self.restore_after_removal()
        self.timers.advance(VERIFICATION_MS - 500.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])
        self.respond(Changes(make_revision(41, 2), None, (), ("i-2",)))
        self.timers.advance(VERIFICATION_MS)
        self.assertEqual(self.known_incarnations(), ["i-1"])

    def test_removed_searcher_in_backup_is_used_once_it_writes(self):
        self.restore_after_removal()
        self.send_changes(41, searchers=(searcher("i-2"),))
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_removed_searcher_in_backup_is_used_if_listed_longer_than_a_lease(self):
        self.restore_after_removal()
        self.timers.advance(VERIFICATION_MS - 100.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])
        # No response since then could have reported its removal.
        self.timers.advance(600.0)
        self.assertEqual(self.known_incarnations(), ["i-1"])
        self.respond(Changes(make_revision(40, 2)))
        self.timers.advance(600.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_another_list_of_the_backup_does_not_verify_a_removed_searcher(self):
        self.restore_after_removal()
        self.timers.advance(300.0)
        self.respond(HISTORY_LOST)
        self.respond(Snapshot(make_revision(41, 2), plan(22), FIRST, evacuated=()))
        self.assertEqual(self.known_incarnations(), ["i-1"])
        self.timers.advance(400.0)
        self.respond(HISTORY_LOST)
        self.timers.advance(200.0)
        self.respond(Snapshot(make_revision(43, 2), plan(22), FIRST[:1], evacuated=()))
        self.timers.advance(VERIFICATION_MS)
        self.assertEqual(self.known_incarnations(), ["i-1"])

    def test_removed_searcher_listed_by_a_reader_that_never_knew_it_is_verified(self):
        position = (self.follower.log.id, self.follower.log.position)
        source, fleet, follower = self.make_follower()
        source.respond(Snapshot(make_revision(51, 1), plan(24), FIRST[:1], evacuated=()))
        self.send_changes(51, era=1, removed=("i-2",))
        position = (follower.log.id, follower.log.position)
        source.respond(HISTORY_LOST)
        source.respond(Snapshot(make_revision(40, 2), plan(22), FIRST, evacuated=()))
        self.timers.advance(300.0)
        self.respond(follower.changes_since(*position))
        self.assertEqual(
            (self.follower.revision, self.known_incarnations()), (make_revision(40, 2), ["i-1"])
        )
        self.timers.advance(VERIFICATION_MS)
        self.follower.on_peer_revision(make_revision(40, 2), 0.0)
        self.timers.advance(600.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_draining_searcher_that_is_ready_in_backup_is_not_used(self):
        self.send_changes(51, era=1, searchers=(searcher("i-2", draining=True),))
        self.timers.advance(300.0)
        self.restore_platform()
        self.assertEqual(self.usable(), ["i-1"])
        source, fleet, follower = self.make_follower()
        source.respond(self.follower.snapshot())
        self.assertEqual([one.searcher.incarnation for one in fleet.all() if one.usable], ["i-1"])


class EvacuationsTest(RestoresCase):
    def test_evacuation_missing_in_backup_holds_until_written_again(self):
        self.send_changes(51, era=1, evacuations=(Evacuation("hall-a", True),))
        self.timers.advance(300.0)
        self.restore_platform()
        self.assertEqual(self.usable(), [])
        self.send_changes(41, evacuations=(Evacuation("hall-a", True),))
        self.timers.advance(REWRITE_GRACE_MS)
        self.assertEqual(self.usable(), [])

    def test_evacuation_missing_in_backup_ends_if_not_written_again(self):
        self.send_changes(51, era=1, evacuations=(Evacuation("hall-a", True),))
        self.timers.advance(300.0)
        self.restore_platform()
        self.timers.advance(REWRITE_GRACE_MS + 100.0)
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_ended_evacuation_in_backup_holds_until_its_end_is_written_again(self):
        self.restore_platform(evacuated=("hall-a",))
        self.assertEqual(self.usable(), [])
        self.send_changes(41, evacuations=(Evacuation("hall-a", False),))
        self.assertEqual(self.usable(), ["i-1", "i-2"])

    def test_evacuation_written_after_restore_takes_effect_at_once_and_persists(self):
        self.restore_platform()
        self.send_changes(41, evacuations=(Evacuation("hall-a", True),))
        self.assertEqual(self.usable(), [])
        self.timers.advance(REWRITE_GRACE_MS + 100.0)
        self.assertEqual(self.usable(), [])


class ResyncTest(RestoresCase):
    """Entries at the same revision do not learn what expires by time, as it has no revision."""

    def test_full_state_is_requested_once_after_settling(self):
        self.restore_platform()
        self.send_changes(41)
        self.timers.advance(RESYNC_DELAY_MS - 600.0)
        self.respond(Changes(make_revision(41, 2)))
        self.assertNotIn("full state", self.source.calls)
        self.timers.advance(300.0)
        self.respond(Changes(make_revision(41, 2)))
        self.timers.advance(300.0)
        self.assertEqual(self.source.calls[-2:], ["full state", "after 41"])
        self.respond(Snapshot(make_revision(41, 2), plan(24), FIRST[:1], evacuated=("hall-a",)))
        self.assertEqual(
            (self.known_incarnations(), self.follower.evacuated), (["i-1"], ("hall-a",))
        )
        self.timers.advance(300.0)
        self.assertEqual(
            (self.source.calls[-1], self.follower.needs_full_state), ("after 41", False)
        )

    def test_partitioned_node_resyncs_from_peer_at_same_revision(self):
        state = Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=("hall-a",))
        self.follower.offer(state)
        self.assertEqual(self.follower.evacuated, ("hall-a",))
        # The peer retained the evacuation only for a while, and ends it.
        ended = Snapshot(make_revision(40, 2), plan(24), FIRST, 5.0, evacuated=())
        self.timers.advance(RESYNC_DELAY_MS - 100.0)
        self.follower.offer(ended)
        self.assertEqual(self.follower.evacuated, ("hall-a",))
        self.timers.advance(200.0)
        self.follower.offer(ended)
        self.assertEqual((self.follower.evacuated, self.follower.needs_full_state), ((), False))
