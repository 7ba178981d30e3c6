"""Taking state from a peer that is further, on a real socket for heartbeats."""

import random
import unittest

from circuits import BaseComponent
from msgspec.structs import replace

from rhubarbhinge.members import (
    Heartbeat,
    Member,
    decode_heartbeat,
    encode_heartbeat,
    encode_members,
)
from rhubarbhinge.peers import Peers, encode_state
from rhubarbhinge.published import ChangeLog, Snapshot
from rhubarbhinge.quarantine import Quarantine, Quarantined, SuspicionMessage
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.utils.testing import run_until, stop_tree
from rhubarbhinge.utils.testing_revisions import at
from rhubarbhinge.web import Reply
from standins.fleet import free_ports

BEAT = Heartbeat("vm-2", "hall-b", 7, 0, False, False, at(51), 12.0, 0)
MEMBER = Member("vm-7", "127.0.0.7", "hall-b", 3)


class FakeFollower:
    """Knows revision 50, and takes what is offered."""

    def __init__(self):
        self.revision = at(50)
        self.plan = None
        self.needs_peers = False
        self.wants_all = False
        self.log = ChangeLog(random.Random(1))
        self.on_changed = None

    def age_ms(self) -> float:
        return 100.0

    def on_peer_revision(self, revision: Revision, age_ms: float) -> None:
        pass

    def searchers_digest(self) -> str:
        return ""

    def snapshot(self) -> Snapshot:
        return Snapshot(self.revision, None, ())

    def offer(self, snapshot: Snapshot) -> None:
        self.revision = max(self.revision, snapshot.revision)


class FakeClient:
    def __init__(self):
        self.asked: list[str] = []
        self.lists: list[str] = []

    def call(self, ip, port, method, path, timeout_ms, on_done) -> None:
        if path == "/v1/members":
            self.lists.append(ip)
            on_done(Reply(200, {}, encode_members([MEMBER])))
            return
        self.asked.append(ip)
        on_done(Reply(200, {}, encode_state(Snapshot(at(51), None, (), 5.0), "log", 1)))


class PullingTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        timers = TimerService().register(self.root)
        self.client, self.follower = FakeClient(), FakeFollower()
        (self.port,) = free_ports(1)
        self.quarantine = Quarantine(
            timers.now_ms, lambda fingerprint: True, lambda: None, random.Random(1)
        )
        self.peers = Peers(
            timers,
            self.client,
            self.follower,
            "vm-1",
            "127.0.0.1",
            self.port,
            "hall-a",
            (),
            random.Random(1),
            lambda: True,
            self.quarantine,
        ).register(self.root)
        self.addCleanup(stop_tree, self.root)

    def hear(self, ip: str = "127.0.0.2", **changes: object) -> None:
        beat = replace(BEAT, **changes)
        self.peers._datagram(ip, self.port, encode_heartbeat(beat))

    def test_the_first_that_is_heard_gives_its_list_of_entries(self):
        self.hear()
        self.hear(name="vm-3", ip="127.0.0.3")
        self.assertEqual(self.client.lists, ["127.0.0.2"])
        self.assertEqual(
            {member.name for member in self.peers.membership.live("hall-b")},
            {"vm-2", "vm-3", "vm-7"},
        )

    def test_datagrams_that_are_no_heartbeats_change_nothing(self):
        for data in (b"", b"[]", b'["vm-2"]', b"\xff" * 20_000):
            self.peers._datagram("127.0.0.9", self.port, data)
        self.assertEqual(self.peers.membership.processes(), 1)

    def test_an_entry_whose_watch_is_silent_takes_what_a_peer_knows(self):
        self.hear()
        self.assertEqual(self.client.asked, [])
        self.assertTrue(run_until(self.root, lambda: self.follower.revision == at(51)))
        self.assertEqual(self.client.asked, ["127.0.0.2"])

    def test_one_that_is_told_meanwhile_asks_nobody(self):
        self.hear()
        self.follower.revision = at(51)
        self.hear(revision=at(51))
        run_until(self.root, lambda: False, 1.0)
        self.assertEqual(self.client.asked, [])

    def test_one_whose_store_fails_does_not_wait(self):
        self.follower.needs_peers = True
        self.hear()
        self.assertEqual(self.client.asked, ["127.0.0.2"])

    def test_a_peer_of_a_later_era_is_further_though_its_number_is_lower(self):
        self.follower.needs_peers = True
        self.hear(revision=at(60), plan_version=0, age_ms=-1.0)
        self.hear(revision=at(9, 1))
        self.assertEqual(self.client.asked, ["127.0.0.2"])

    def test_a_peer_with_a_newer_configuration_alone_is_asked_for_it(self):
        self.follower.needs_peers = True
        self.hear(revision=at(50))
        self.assertEqual(self.client.asked, [])
        self.hear(revision=at(49), plan_version=3)
        self.assertEqual(self.client.asked, ["127.0.0.2"])

    def test_one_that_wants_all_once_more_asks_a_peer_that_is_just_as_far(self):
        self.follower.needs_peers = True
        self.hear(revision=at(50))
        self.assertEqual(self.client.asked, [])
        self.follower.wants_all = True
        self.hear(revision=at(50), age_ms=-1.0)
        self.assertEqual(self.client.asked, [])
        self.hear(revision=at(50))
        self.assertEqual(self.client.asked, ["127.0.0.2"])

    def test_a_peer_whose_state_nobody_has_confirmed_is_not_asked(self):
        self.follower.needs_peers = True
        self.hear(revision=at(60), age_ms=-1.0)
        self.assertEqual(self.client.asked, [])

    def test_a_peer_of_the_same_domain_is_asked_first(self):
        self.hear()
        self.hear(name="vm-3", ip="127.0.0.3", failure_domain="hall-a")
        self.assertTrue(run_until(self.root, lambda: self.client.asked))
        self.assertEqual(self.client.asked, ["127.0.0.3"])

    def test_what_a_heartbeat_carries_is_taken_and_passed_on_once(self):
        told = SuspicionMessage("f" * 32, "search", 1, False, [1, 2, 3], 5.0)
        sent: list[tuple[str, bytes]] = []
        self.peers._datagrams.send = lambda ip, port, data: sent.append((ip, data))
        self.hear()
        self.assertEqual(decode_heartbeat(encode_heartbeat(BEAT)).suspicions, ())
        del sent[:]
        self.hear(suspicions=(told,))
        self.assertIsInstance(self.quarantine.decide("f" * 32, "search"), Quarantined)
        self.assertTrue(sent)
        self.assertEqual(decode_heartbeat(sent[0][1]).suspicions[0].marks, [1, 2, 3])
        del sent[:]
        self.hear(suspicions=(told,))
        self.assertEqual(sent, [])

    def test_one_entry_of_a_fleet_tries_a_request_again(self):
        self.hear()
        mine = sum(self.peers.quarantine_news.may_try(f"{n:032x}") for n in range(400))
        self.assertTrue(60 <= mine <= 200, mine)
