"""One reader of the platform in each failure domain."""

import random
import unittest

from msgspec.structs import replace

from rhubarbhinge.members import Member, Membership, MemberState, PublishedStatus
from rhubarbhinge.peers import KnownState, Report, Reports, SharedSource, encode_state
from rhubarbhinge.published import Changes, ReadFault, Snapshot
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import at
from rhubarbhinge.web import Failure, Reply

READER = Member("vm-1", "10.0.0.1", "hall-a", 7)


class FakeStore:
    def __init__(self):
        self.waits: list[int] = []
        self.reads_old: list[bool] = []
        self.outcome: Changes | ReadFault = Changes(at(50))

    def read_all(self, on_done, allow_stale=False) -> None:
        self.reads_old.append(allow_stale)
        on_done(Snapshot(at(40), None, ()))

    def wait_for_changes(self, after_revision, on_done) -> None:
        self.waits.append(after_revision.number)
        on_done(self.outcome)


class FakeClient:
    def __init__(self):
        self.paths: list[str] = []
        self.outcome: Reply | Failure = Failure("refused", False)
        self.on_call = lambda: None

    def call(self, ip, port, method, path, timeout_ms, on_done) -> None:
        self.paths.append(f"{ip}{path}")
        self.on_call()
        on_done(self.outcome)


class SharedSourceCase(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.client, self.store = FakeClient(), FakeStore()
        self.membership = Membership(
            self.timers,
            Member("vm-2", "10.0.0.2", "hall-a", 8),
            (),
            random.Random(1),
            lambda ip, heartbeat: None,
            lambda: PublishedStatus(at(40), 0.0),
        )
        self.reports = Reports()
        self.source = SharedSource(self.timers, self.client, self.store, "vm-2", "hall-a", 7380)
        self.source.know(self.membership, self.reports)
        self.told = []

    def hear(self, age_ms: float = 12.0, **changes: object) -> None:
        member = replace(READER, **changes)
        self.membership.on_members([member])
        self.reports.add(Report(member, at(40), age_ms, self.timers.now_ms()))

    def wait(self, after: int = 40) -> None:
        self.source.wait_for_changes(at(after), self.told.append)

    def tells(self, state: Snapshot | Changes, position: int = 3) -> None:
        self.client.outcome = Reply(200, {}, encode_state(state, "log", position))


class SharedSourceTest(SharedSourceCase):
    def test_alone_it_reads_the_platform(self):
        self.wait()
        self.assertEqual((self.store.waits, self.client.paths), ([40], []))
        self.assertTrue(self.source.reads_platform)

    def test_the_least_name_of_the_domain_reads_for_the_others(self):
        self.hear()
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.wait()
        self.tells(Changes(at(42), None, (), ("i-1",), 6.0, by_peer=True), 4)
        self.wait(41)
        path = "10.0.0.1/v1/published-changes"
        self.assertEqual(self.client.paths, [path, path + "?log=log&after=3"])
        self.assertEqual((self.store.waits, self.told[1].removed), ([], ("i-1",)))
        self.assertFalse(self.source.reads_platform)

    def test_others_are_no_readers(self):
        for changes in (
            {"name": "vm-3"},
            {"failure_domain": "hall-b"},
            {"state": MemberState.LEFT},
            {"age_ms": 9_000.0},
            {"age_ms": -1.0},
            {"state": MemberState.SUSPECT},
            {"state": MemberState.LOST},
        ):
            self.setUp()
            self.hear(**{"state": MemberState.ALIVE})
            self.hear(**changes)
            if changes.get("name") or changes.get("failure_domain"):
                self.setUp()
                self.hear(**changes)
            self.wait()
            with self.subTest(changes):
                self.assertEqual((len(self.store.waits), self.client.paths), (1, []))

    def test_one_that_was_not_heard_directly_is_a_reader_once_it_is_settled(self):
        self.membership.on_members([READER])
        self.wait()
        self.assertEqual(self.client.paths, [])
        self.timers.advance(3_000.0)
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.wait()
        self.assertEqual(self.client.paths, ["10.0.0.1/v1/published-changes"])

    def test_a_reader_that_fails_is_left_alone_and_the_platform_asked_at_once(self):
        self.hear()
        for outcome in (Failure("timeout", True), Reply(503, {}, b""), Reply(200, {}, b"x")):
            self.client.outcome = outcome
            self.wait()
            self.wait()
            self.timers.advance(3_001.0)
            self.hear()
        self.assertEqual((len(self.client.paths), len(self.store.waits)), (3, 6))

    def test_a_reader_that_is_behind_is_not_followed(self):
        self.hear()
        self.tells(Snapshot(at(39), None, (), 5.0))
        self.wait()
        self.assertEqual(self.told, [Changes(at(50))])

    def test_a_reader_of_the_former_era_is_behind_whatever_its_number(self):
        self.hear()
        self.tells(Snapshot(at(90, 1), None, (), 5.0))
        self.source.wait_for_changes(at(40, 2), self.told.append)
        self.assertEqual(self.told, [Changes(at(50))])

    def test_a_reader_of_a_later_era_is_followed_though_its_number_is_lower(self):
        self.hear()
        self.tells(Snapshot(at(9, 2), None, (), 5.0))
        self.source.wait_for_changes(at(40, 1), self.told.append)
        self.assertEqual([one.revision for one in self.told], [at(9, 2)])

    def test_a_place_in_the_log_holds_for_the_era_that_it_is_of(self):
        self.hear()
        self.tells(Snapshot(at(41, 1), None, (), 5.0))
        self.source.wait_for_changes(at(40, 1), self.told.append)
        # Meanwhile another entry has told of the next era.
        self.tells(Snapshot(at(42, 2), None, (), 5.0))
        self.source.wait_for_changes(at(30, 2), self.told.append)
        self.assertNotIn("after=", self.client.paths[-1])

    def test_what_a_reader_told_of_a_wait_from_before_is_not_used(self):
        known = [KnownState(revision=at(40, 1))]
        self.source.know(self.membership, self.reports, lambda: known[-1])
        self.hear()
        paths = self.client.paths
        self.client.on_call = lambda: known.append(KnownState(revision=at(30, 2)))
        self.tells(Changes(at(31, 2), None, (), ("i-1",), 6.0, by_peer=True))
        self.source.wait_for_changes(at(40, 1), self.told.append)
        self.assertEqual((len(paths), "after=" in paths[-1], len(self.told)), (2, False, 1))

    def test_a_first_list_that_may_be_old_leaves_no_reader_behind(self):
        self.source.read_all(lambda outcome: None)
        self.hear()
        self.tells(Snapshot(at(9, 2), None, (), 5.0))
        self.timers.advance(500.0)
        self.source.wait_for_changes(at(56, 2), self.told.append)
        self.assertEqual([one.revision for one in self.told], [at(9, 2)])

    def test_one_that_wants_all_is_told_all_by_its_reader_and_then_changes(self):
        self.hear()
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.wait()
        for after in (False, True):
            if not after:
                self.source.ask_for_all()
            self.wait(41)
            self.assertEqual("after=" in self.client.paths[-1], after)
        self.assertEqual(self.store.waits, [])

    def test_one_that_reads_and_wants_all_lists_it(self):
        self.source.ask_for_all()
        self.wait()
        self.timers.advance(0.0)
        self.assertEqual((self.told, self.store.waits), ([ReadFault("settled", True)], []))
        for _ in range(2):
            self.source.read_all(lambda outcome: None)
        self.timers.advance(3_100.0)
        self.wait()
        self.assertEqual(self.store.waits, [40])

    def test_after_the_platform_was_asked_the_place_in_the_log_is_forgotten(self):
        self.hear()
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.wait()
        self.client.outcome = Failure("reset", True)
        self.wait()
        self.timers.advance(3_001.0)
        self.hear()
        self.tells(Snapshot(at(60), None, (), 5.0))
        self.wait()
        self.assertNotIn("after=", self.client.paths[-1])

    def test_one_that_the_platform_turns_away_asks_any_other_and_reads_for_nobody(self):
        self.store.outcome = ReadFault("status-503")
        self.hear(name="vm-9")
        self.wait()
        self.assertFalse(self.source.reads_platform)
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.wait()
        self.assertEqual(len(self.client.paths), 1)


class StartTest(SharedSourceCase):
    """A start, at which 195 entries made 3.4 calls to the platform each: a list and watches."""

    def start(self) -> None:
        self.source.read_all(self.told.append)
        self.told.clear()

    def hear_of(self, *names: str) -> None:
        for place, name in enumerate(names):
            member = Member(name, f"10.0.1.{place}", "hall-a", 9 + place)
            self.membership.on_members([member])

    def test_the_first_list_may_be_old_and_later_ones_not(self):
        self.start()
        self.start()
        self.assertEqual(self.store.reads_old, [True, False])

    def test_an_entry_that_hears_of_a_reader_makes_no_further_call(self):
        self.start()
        self.wait()
        self.timers.advance(120.0)
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.hear()
        self.timers.advance(60.0)
        self.assertEqual((self.store.waits, len(self.client.paths)), ([], 1))
        self.assertEqual(self.told[0].revision, at(41))

    def test_the_least_name_reads_as_soon_as_it_knows_the_others(self):
        self.start()
        self.hear_of("vm-3", "vm-4")
        self.wait()
        self.timers.advance(300.0)
        self.assertEqual(self.told, [])
        self.timers.advance(150.0)
        self.check_reads()

    def check_reads(self) -> None:
        """What was listed may be old: all is listed again, then changes are waited for."""
        self.assertEqual((self.told, self.store.waits), ([ReadFault("old-list", True)], []))
        self.source.read_all(self.told.append)
        self.wait()
        self.assertEqual((self.store.reads_old, self.store.waits), ([True, False], [40]))

    def test_alone_in_its_domain_it_reads_after_a_moment(self):
        self.start()
        self.wait()
        self.timers.advance(500.0)
        self.check_reads()

    def test_the_others_ask_the_least_name_though_nobody_is_settled(self):
        self.start()
        self.hear_of("vm-0", "vm-1", "vm-3")
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.wait()
        self.timers.advance(300.0)
        self.assertEqual((self.store.waits, self.client.paths), ([], []))
        self.timers.advance(200.0)
        self.assertEqual((self.store.waits, len(self.client.paths)), ([], 1))

    def test_one_that_reads_not_yet_is_asked_again_and_the_platform_not(self):
        # All of 39 entries of a domain start together: who is least is known to some late only.
        self.start()
        self.hear_of("vm-0")
        self.client.outcome = Reply(503, {}, b"")
        self.wait()
        self.timers.advance(1_500.0)
        self.assertGreater(len(self.client.paths), 2)
        self.tells(Snapshot(at(41), None, (), 5.0))
        self.timers.advance(300.0)
        self.assertEqual((self.store.waits, [one.revision for one in self.told]), ([], [at(41)]))

    def test_one_that_finds_no_reader_asks_the_platform_in_the_end(self):
        self.start()
        self.hear_of("vm-0")
        self.wait()
        self.timers.advance(2_900.0)
        self.assertEqual((len(self.client.paths), self.told), (1, []))
        self.timers.advance(200.0)
        self.check_reads()

    def test_a_reader_whose_watch_is_cut_counts_as_one_for_a_moment(self):
        self.wait()
        self.store.outcome = ReadFault("reset", cut=True)
        self.wait()
        self.assertTrue(self.source.reads_platform)
        self.timers.advance(900.0)
        self.wait()
        self.assertTrue(self.source.reads_platform)
        self.timers.advance(200.0)
        self.assertFalse(self.source.reads_platform)
        self.store.outcome = Changes(at(60))
        self.wait()
        self.assertTrue(self.source.reads_platform)
