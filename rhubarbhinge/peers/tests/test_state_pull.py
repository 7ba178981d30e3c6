"""Pulling state from a peer that is ahead, with a real socket for heartbeats."""

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
from rhubarbhinge.utils.testing_revisions import make_revision
from rhubarbhinge.web import Reply
from standins.fleet import free_ports

HEARTBEAT = Heartbeat("vm-2", "hall-b", 7, 0, False, False, make_revision(51), 12.0, 0)
MEMBER = Member("vm-7", "127.0.0.7", "hall-b", 3)


class FakeFollower:
    """Has revision 50, and accepts newer states."""

    def __init__(self):
        self.revision = make_revision(50)
        self.plan = None
        self.needs_peers = False
        self.needs_full_state = False
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
        self.pulled_ips: list[str] = []
        self.listed_ips: list[str] = []

    def call(self, ip, port, method, path, timeout_ms, on_done) -> None:
        if path == "/v1/members":
            self.listed_ips.append(ip)
            on_done(Reply(200, {}, encode_members([MEMBER])))
            return
        self.pulled_ips.append(ip)
        on_done(Reply(200, {}, encode_state(Snapshot(make_revision(51), None, (), 5.0), "log", 1)))


class StatePullTest(unittest.TestCase):
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

    def receive(self, ip: str = "127.0.0.2", **changes: object) -> None:
        heartbeat = replace(HEARTBEAT, **changes)
        self.peers._on_datagram(ip, self.port, encode_heartbeat(heartbeat))

    def test_members_are_fetched_from_the_first_sender(self):
        self.receive()
        self.receive(name="vm-3", ip="127.0.0.3")
        self.assertEqual(self.client.listed_ips, ["127.0.0.2"])
        self.assertEqual(
            {member.name for member in self.peers.membership.live("hall-b")},
            {"vm-2", "vm-3", "vm-7"},
        )

    def test_invalid_datagrams_are_ignored(self):
        for data in (b"", b"[]", b'["vm-2"]', b"\xff" * 20_000):
            self.peers._on_datagram("127.0.0.9", self.port, data)
        self.assertEqual(self.peers.membership.process_count(), 1)

    def test_node_that_stays_behind_pulls_from_peer(self):
        self.receive()
        self.assertEqual(self.client.pulled_ips, [])
        self.assertTrue(run_until(self.root, lambda: self.follower.revision == make_revision(51)))
        self.assertEqual(self.client.pulled_ips, ["127.0.0.2"])

    def test_node_that_catches_up_does_not_pull(self):
        self.receive()
        self.follower.revision = make_revision(51)
        self.receive(revision=make_revision(51))
        run_until(self.root, lambda: False, 1.0)
        self.assertEqual(self.client.pulled_ips, [])

    def test_node_whose_reads_fail_pulls_at_once(self):
        self.follower.needs_peers = True
        self.receive()
        self.assertEqual(self.client.pulled_ips, ["127.0.0.2"])

    def test_peer_of_later_era_with_lower_number_is_ahead(self):
        self.follower.needs_peers = True
        self.receive(revision=make_revision(60), plan_version=0, age_ms=-1.0)
        self.receive(revision=make_revision(9, 1))
        self.assertEqual(self.client.pulled_ips, ["127.0.0.2"])

    def test_peer_with_only_a_newer_plan_is_ahead(self):
        self.follower.needs_peers = True
        self.receive(revision=make_revision(50))
        self.assertEqual(self.client.pulled_ips, [])
        self.receive(revision=make_revision(49), plan_version=3)
        self.assertEqual(self.client.pulled_ips, ["127.0.0.2"])

    def test_node_that_needs_full_state_pulls_from_peer_at_same_revision(self):
        self.follower.needs_peers = True
        self.receive(revision=make_revision(50))
        self.assertEqual(self.client.pulled_ips, [])
        self.follower.needs_full_state = True
        self.receive(revision=make_revision(50), age_ms=-1.0)
        self.assertEqual(self.client.pulled_ips, [])
        self.receive(revision=make_revision(50))
        self.assertEqual(self.client.pulled_ips, ["127.0.0.2"])

    def test_peer_with_unconfirmed_state_is_not_asked(self):
        self.follower.needs_peers = True
        self.receive(revision=make_revision(60), age_ms=-1.0)
        self.assertEqual(self.client.pulled_ips, [])

    def test_peer_of_same_domain_is_preferred(self):
        self.receive()
        self.receive(name="vm-3", ip="127.0.0.3", failure_domain="hall-a")
        self.assertTrue(run_until(self.root, lambda: self.client.pulled_ips))
        self.assertEqual(self.client.pulled_ips, ["127.0.0.3"])

    def test_suspicions_of_a_heartbeat_are_forwarded_once(self):
        suspicion = SuspicionMessage("f" * 32, "search", 1, False, [1, 2, 3], 5.0)
        sent: list[tuple[str, bytes]] = []
        self.peers._datagrams.send = lambda ip, port, data: sent.append((ip, data))
        self.receive()
        self.assertEqual(decode_heartbeat(encode_heartbeat(HEARTBEAT)).suspicions, ())
        del sent[:]
        self.receive(suspicions=(suspicion,))
        self.assertIsInstance(self.quarantine.decide("f" * 32, "search"), Quarantined)
        self.assertTrue(sent)
        self.assertEqual(decode_heartbeat(sent[0][1]).suspicions[0].marks, [1, 2, 3])
        del sent[:]
        self.receive(suspicions=(suspicion,))
        self.assertEqual(sent, [])

    def test_one_node_retries_each_suspected_request(self):
        self.receive()
        own = sum(self.peers.quarantine_gossip.may_try(f"{n:032x}") for n in range(400))
        self.assertTrue(60 <= own <= 200, own)
