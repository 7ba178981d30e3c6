"""One reader of the platform in each failure domain."""

import random
import unittest

from msgspec.structs import replace

from rhubarbhinge.members import Member, Membership, MemberState, PublishedStatus
from rhubarbhinge.peers import KnownState, PeerReport, PeerReports, SharedSource, encode_state
from rhubarbhinge.published import DEFAULT_FRESHNESS, Changes, ReadFailure, Snapshot
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import make_revision
from rhubarbhinge.web import Failure, Reply

READER = Member("vm-1", "10.0.0.1", "hall-a", 7)


class FakeStore:
    def __init__(self):
        self.watched_revisions: list[int] = []
        self.waits_ms: list[float] = []
        self.cancelled: list[str] = []
        self.stale_reads: list[bool] = []
        self.outcome: Changes | ReadFailure | None = Changes(make_revision(50))

    def read_all(self, on_done, allow_stale=False) -> None:
        self.stale_reads.append(allow_stale)
        on_done(Snapshot(make_revision(40), None, ()))

    def wait_for_changes(self, after_revision, wait_ms, timeout_ms, on_done):
        self.watched_revisions.append(after_revision.number)
        self.waits_ms.append(wait_ms)
        if self.outcome is not None:
            on_done(self.outcome)
        return lambda: self.cancelled.append("platform")


class FakeClient:
    def __init__(self):
        self.paths: list[str] = []
        self.cancelled: list[int] = []
        self.outcome: Reply | Failure | None = Failure("refused", False)
        self.on_call = lambda: None

    def call(self, ip, port, method, path, timeout_ms, on_done) -> int:
        self.paths.append(f"{ip}{path}")
        self.on_call()
        if self.outcome is not None:
            on_done(self.outcome)
        return len(self.paths)

    def cancel(self, call: int) -> None:
        self.cancelled.append(call)


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
            lambda: PublishedStatus(make_revision(40), 0.0),
        )
        self.reports = PeerReports()
        self.source = SharedSource(self.timers, self.client, self.store, "vm-2", "hall-a", 7380)
        self.source.set_peers(self.membership, self.reports)
        self.outcomes = []

    def receive_report(self, age_ms: float = 12.0, **changes: object) -> None:
        member = replace(READER, **changes)
        self.membership.on_members([member])
        self.reports.add(PeerReport(member, make_revision(40), age_ms, self.timers.now_ms()))

    def wait(self, after: int = 40) -> None:
        self.source.wait_for_changes(make_revision(after), self.outcomes.append)

    def set_response(self, state: Snapshot | Changes, position: int = 3) -> None:
        self.client.outcome = Reply(200, {}, encode_state(state, "log", position))


class SharedSourceTest(SharedSourceCase):
    def test_single_node_reads_the_platform(self):
        self.wait()
        self.assertEqual((self.store.watched_revisions, self.client.paths), ([40], []))
        self.assertTrue(self.source.reads_platform)

    def test_lowest_name_of_the_domain_reads_for_the_others(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.wait()
        self.set_response(Changes(make_revision(42), None, (), ("i-1",), 6.0, by_peer=True), 4)
        self.wait(41)
        path = "10.0.0.1/v1/published-changes"
        self.assertEqual(self.client.paths, [path, path + "?log=log&after=3"])
        self.assertEqual((self.store.watched_revisions, self.outcomes[1].removed), ([], ("i-1",)))
        self.assertFalse(self.source.reads_platform)

    def test_other_nodes_are_not_readers(self):
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
            self.receive_report(**{"state": MemberState.ALIVE})
            self.receive_report(**changes)
            if changes.get("name") or changes.get("failure_domain"):
                self.setUp()
                self.receive_report(**changes)
            self.wait()
            with self.subTest(changes):
                self.assertEqual((len(self.store.watched_revisions), self.client.paths), (1, []))

    def test_member_without_report_is_reader_once_known_long_enough(self):
        self.membership.on_members([READER])
        self.wait()
        self.assertEqual(self.client.paths, [])
        self.timers.advance(3_000.0)
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.wait()
        self.assertEqual(self.client.paths, ["10.0.0.1/v1/published-changes"])

    def test_failed_reader_is_avoided_and_the_platform_asked_at_once(self):
        self.receive_report()
        for outcome in (Failure("timeout", True), Reply(503, {}, b""), Reply(200, {}, b"x")):
            self.client.outcome = outcome
            self.wait()
            self.wait()
            self.timers.advance(3_001.0)
            self.receive_report()
        self.assertEqual((len(self.client.paths), len(self.store.watched_revisions)), (3, 6))

    def test_platform_is_waited_for_only_right_after_it_has_answered(self):
        for outcome in (Changes(make_revision(50)), ReadFailure("status-503"), None):
            self.store.outcome = outcome
            self.wait()
        self.assertEqual(self.store.waits_ms, [0.0, DEFAULT_FRESHNESS.watch_ms, 0.0])

    def test_silent_wait_at_the_platform_is_replaced_by_a_question(self):
        self.wait()
        self.store.outcome = None
        self.wait()
        self.source.confirm()
        self.assertEqual(self.store.cancelled, ["platform"])
        self.assertEqual(self.store.waits_ms, [0.0, DEFAULT_FRESHNESS.watch_ms, 0.0])
        self.source.confirm()
        self.assertEqual(len(self.store.waits_ms), 3)

    def test_silent_wait_at_a_reader_is_replaced_and_the_reader_avoided(self):
        self.receive_report()
        self.client.outcome = None
        self.wait()
        self.source.confirm()
        self.assertEqual((self.client.cancelled, self.store.waits_ms), ([1], [0.0]))
        self.assertEqual(self.outcomes, [Changes(make_revision(50))])
        self.wait()
        self.assertEqual((len(self.client.paths), len(self.store.waits_ms)), (1, 2))

    def test_nothing_is_asked_without_a_pending_wait(self):
        self.wait()
        self.source.confirm()
        self.assertEqual((self.store.waits_ms, self.store.cancelled), ([0.0], []))

    def test_reader_that_is_behind_is_not_followed(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(39), None, (), 5.0))
        self.wait()
        self.assertEqual(self.outcomes, [Changes(make_revision(50))])

    def test_reader_of_former_era_is_behind(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(90, 1), None, (), 5.0))
        self.source.wait_for_changes(make_revision(40, 2), self.outcomes.append)
        self.assertEqual(self.outcomes, [Changes(make_revision(50))])

    def test_reader_of_later_era_with_lower_number_is_followed(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(9, 2), None, (), 5.0))
        self.source.wait_for_changes(make_revision(40, 1), self.outcomes.append)
        self.assertEqual([one.revision for one in self.outcomes], [make_revision(9, 2)])

    def test_log_position_is_valid_for_its_era_only(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(41, 1), None, (), 5.0))
        self.source.wait_for_changes(make_revision(40, 1), self.outcomes.append)
        # Another entry has reported the next era since.
        self.set_response(Snapshot(make_revision(42, 2), None, (), 5.0))
        self.source.wait_for_changes(make_revision(30, 2), self.outcomes.append)
        self.assertNotIn("after=", self.client.paths[-1])

    def test_response_to_a_wait_from_a_former_era_is_not_used(self):
        known = [KnownState(revision=make_revision(40, 1))]
        self.source.set_peers(self.membership, self.reports, lambda: known[-1])
        self.receive_report()
        paths = self.client.paths
        self.client.on_call = lambda: known.append(KnownState(revision=make_revision(30, 2)))
        self.set_response(Changes(make_revision(31, 2), None, (), ("i-1",), 6.0, by_peer=True))
        self.source.wait_for_changes(make_revision(40, 1), self.outcomes.append)
        self.assertEqual((len(paths), "after=" in paths[-1], len(self.outcomes)), (2, False, 1))

    def test_reader_is_not_behind_a_stale_first_list(self):
        self.source.read_all(lambda outcome: None)
        self.receive_report()
        self.set_response(Snapshot(make_revision(9, 2), None, (), 5.0))
        self.timers.advance(500.0)
        self.source.wait_for_changes(make_revision(56, 2), self.outcomes.append)
        self.assertEqual([one.revision for one in self.outcomes], [make_revision(9, 2)])

    def test_full_state_is_requested_from_the_reader_once(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.wait()
        for after in (False, True):
            if not after:
                self.source.request_full_state()
            self.wait(41)
            self.assertEqual("after=" in self.client.paths[-1], after)
        self.assertEqual(self.store.watched_revisions, [])

    def test_full_state_is_listed_when_reading_the_platform(self):
        self.source.request_full_state()
        self.wait()
        self.timers.advance(0.0)
        self.assertEqual(
            (self.outcomes, self.store.watched_revisions), ([ReadFailure("settled", True)], [])
        )
        for _ in range(2):
            self.source.read_all(lambda outcome: None)
        self.timers.advance(3_100.0)
        self.wait()
        self.assertEqual(self.store.watched_revisions, [40])

    def test_log_position_is_reset_after_a_platform_call(self):
        self.receive_report()
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.wait()
        self.client.outcome = Failure("reset", True)
        self.wait()
        self.timers.advance(3_001.0)
        self.receive_report()
        self.set_response(Snapshot(make_revision(60), None, (), 5.0))
        self.wait()
        self.assertNotIn("after=", self.client.paths[-1])

    def test_node_rejected_by_the_platform_asks_any_other_node(self):
        self.store.outcome = ReadFailure("status-503")
        self.receive_report(name="vm-9")
        self.wait()
        self.assertFalse(self.source.reads_platform)
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.wait()
        self.assertEqual(len(self.client.paths), 1)


class StartTest(SharedSourceCase):
    """Starting entries, which must not overload the platform.

    Once, 195 starting entries made 3.4 calls each to the platform: a list and several watches.
    """

    def start(self) -> None:
        self.source.read_all(self.outcomes.append)
        self.outcomes.clear()

    def add_members(self, *names: str) -> None:
        for index, name in enumerate(names):
            member = Member(name, f"10.0.1.{index}", "hall-a", 9 + index)
            self.membership.on_members([member])

    def test_only_the_first_list_may_be_stale(self):
        self.start()
        self.start()
        self.assertEqual(self.store.stale_reads, [True, False])

    def test_node_that_finds_a_reader_does_not_call_the_platform_again(self):
        self.start()
        self.wait()
        self.timers.advance(120.0)
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.receive_report()
        self.timers.advance(60.0)
        self.assertEqual((self.store.watched_revisions, len(self.client.paths)), ([], 1))
        self.assertEqual(self.outcomes[0].revision, make_revision(41))

    def test_lowest_name_reads_after_discovery(self):
        self.start()
        self.add_members("vm-3", "vm-4")
        self.wait()
        self.timers.advance(300.0)
        self.assertEqual(self.outcomes, [])
        self.timers.advance(150.0)
        self.assert_reads_platform()

    def assert_reads_platform(self) -> None:
        """Check that a possibly stale list is read again, and that changes are then awaited."""
        self.assertEqual(
            (self.outcomes, self.store.watched_revisions), ([ReadFailure("old-list", True)], [])
        )
        self.source.read_all(self.outcomes.append)
        self.wait()
        self.assertEqual(
            (self.store.stale_reads, self.store.watched_revisions), ([True, False], [40])
        )

    def test_single_node_of_a_domain_reads_after_discovery(self):
        self.start()
        self.wait()
        self.timers.advance(500.0)
        self.assert_reads_platform()

    def test_other_nodes_ask_the_lowest_name_after_discovery(self):
        self.start()
        self.add_members("vm-0", "vm-1", "vm-3")
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.wait()
        self.timers.advance(300.0)
        self.assertEqual((self.store.watched_revisions, self.client.paths), ([], []))
        self.timers.advance(200.0)
        self.assertEqual((self.store.watched_revisions, len(self.client.paths)), ([], 1))

    def test_reader_that_does_not_read_yet_is_asked_again(self):
        # When all 39 entries of a domain start together, some learn late which has the lowest name.
        self.start()
        self.add_members("vm-0")
        self.client.outcome = Reply(503, {}, b"")
        self.wait()
        self.timers.advance(1_500.0)
        self.assertGreater(len(self.client.paths), 2)
        self.set_response(Snapshot(make_revision(41), None, (), 5.0))
        self.timers.advance(300.0)
        self.assertEqual(
            (self.store.watched_revisions, [one.revision for one in self.outcomes]),
            ([], [make_revision(41)]),
        )

    def test_node_that_finds_no_reader_asks_the_platform_after_the_timeout(self):
        self.start()
        self.add_members("vm-0")
        self.wait()
        self.timers.advance(2_900.0)
        self.assertEqual((len(self.client.paths), self.outcomes), (1, []))
        self.timers.advance(200.0)
        self.assert_reads_platform()

    def test_reader_whose_watch_is_cut_remains_reader_briefly(self):
        self.wait()
        self.store.outcome = ReadFailure("reset", connection_lost=True)
        self.wait()
        self.assertTrue(self.source.reads_platform)
        self.timers.advance(900.0)
        self.wait()
        self.assertTrue(self.source.reads_platform)
        self.timers.advance(200.0)
        self.assertFalse(self.source.reads_platform)
        self.store.outcome = Changes(make_revision(60))
        self.wait()
        self.assertTrue(self.source.reads_platform)
