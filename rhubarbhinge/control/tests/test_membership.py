"""Which claim prevails, who answers a probe, and what is sent."""

import random
import unittest
from dataclasses import replace
from itertools import product

from rhubarbhinge.control import (
    ALIVE,
    DEAD,
    LEAVING,
    SUSPECT,
    Membership,
    MembershipTimings,
    SendDatagram,
    Superseded,
    VmNode,
    message_bytes,
)
from rhubarbhinge.control._datagrams import NO_CONFIG
from rhubarbhinge.control._member_state import supersedes
from rhubarbhinge.control.tests.schedule import fleet, member
from rhubarbhinge.wire._members_page import MembersPage
from rhubarbhinge.wire._members_request import MembersRequest
from rhubarbhinge.wire._probe import Probe
from rhubarbhinge.wire._probe_ack import ProbeAck
from rhubarbhinge.wire._wrong_receiver import WrongReceiver

CLAIMS = [
    replace(member(1, "entry", "kgn-a", incarnation), counter=counter, state=state)
    for incarnation in (1, 2)
    for counter in (0, 1, 2)
    for state in (ALIVE, SUSPECT, LEAVING, DEAD)
]
PAIRS = list(product(CLAIMS, CLAIMS))
ME = member(0, "entry", "kgn-a", 5)
OTHER = member(2, "entry", "kgn-a")


def answers(effects: list) -> list:
    return [effect.message for effect in effects if isinstance(effect, SendDatagram)]


def probe(name: str, incarnation: int, updates: tuple = ()) -> Probe:
    return Probe(1, OTHER, NO_CONFIG, name, incarnation, updates)


class SupersedesTest(unittest.TestCase):
    def test_of_two_claims_one_prevails_at_most(self):
        for claim, known in PAIRS:
            self.assertFalse(supersedes(claim, known) and supersedes(known, claim))

    def test_leaving_is_undone_by_a_newer_incarnation_only(self):
        for claim, known in PAIRS:
            if known.state == LEAVING and claim.state in (ALIVE, SUSPECT):
                newer = claim.incarnation > known.incarnation
                self.assertEqual(supersedes(claim, known), newer)

    def test_dead_is_undone_by_the_members_own_word_only(self):
        for claim, known in PAIRS:
            if known.state == DEAD and claim.state != DEAD and supersedes(claim, known):
                said = (claim.incarnation, claim.counter)
                self.assertGreater(said, (known.incarnation, known.counter))


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.membership = Membership(ME, random.Random(1))

    def hear(self, message: object, now_ms: int = 0) -> list:
        return self.membership.on_datagram(message, OTHER.ip, OTHER.peer_port, now_ms)

    def test_a_probe_for_another_is_answered_with_the_own_identity(self):
        for name, incarnation in (("kgn-a-9/relay", 0), (ME.name, 4)):
            (answer,) = answers(self.hear(probe(name, incarnation)))
            self.assertEqual(answer, WrongReceiver(1, ME, name, incarnation))
        (answer,) = answers(self.hear(probe(ME.name, 5)))
        self.assertIsInstance(answer, ProbeAck)

    def test_an_older_life_learns_that_it_was_replaced(self):
        effects = self.hear(probe(ME.name, 6))
        self.assertIn(Superseded(replace(ME, incarnation=6)), effects)

    def test_a_replaced_process_is_told_when_it_probes(self):
        newer = replace(OTHER, incarnation=9)
        self.hear(probe(ME.name, 5, (newer,)))
        (answer,) = answers(self.hear(probe(ME.name, 5)))
        self.assertEqual(answer.updates[0], newer)
        replaced = Membership(OTHER, random.Random(1))
        self.assertIn(Superseded(newer), replaced.on_datagram(answer, ME.ip, ME.peer_port, 0))

    def test_an_address_taken_over_by_another_ends_the_former_holder(self):
        self.hear(probe("", 0))
        (sent,) = answers(self.membership.tick(1_000))[:1]
        taker = replace(member(8, "entry", "kgn-a"), ip=OTHER.ip)
        self.hear(WrongReceiver(sent.sequence, taker, sent.receiver_name, 1), 1_001)
        self.assertEqual(self.membership.get(OTHER.name).state, DEAD)
        self.assertEqual(self.membership.get(taker.name).state, ALIVE)

    def test_a_suspicion_of_oneself_is_refuted(self):
        self.hear(probe(ME.name, 5, (replace(ME, state=SUSPECT),)))
        self.assertEqual(self.membership.self_member, replace(ME, counter=1))
        self.membership.leave(0)
        self.assertEqual(self.membership.self_member, replace(ME, counter=2, state=LEAVING))
        self.hear(probe(ME.name, 5, (replace(ME, state=DEAD, counter=2),)))
        self.assertEqual(self.membership.self_member.state, LEAVING)

    def test_messages_fit_the_datagram(self):
        members = tuple(fleet(200, 1))
        self.hear(probe(ME.name, 5, members))
        request = MembersRequest(2, OTHER, NO_CONFIG, "", "")
        messages = answers(self.hear(request) + self.hear(probe(ME.name, 5)))
        self.assertLessEqual(max(map(message_bytes, messages)), 1_400)
        self.assertGreater(len(messages[1].updates), 4)

    def test_pages_lead_through_all_members(self):
        members = {m.name: m for m in fleet(60, 1)}
        self.hear(probe(ME.name, 5, tuple(members.values())))
        found, after = set(), ""
        while True:
            (page,) = answers(self.hear(MembersRequest(2, OTHER, NO_CONFIG, "", after)))
            self.assertIsInstance(page, MembersPage)
            found |= {m.name for m in page.updates}
            after = page.next_name
            if not after:
                break
        self.assertEqual(found, {m.name for m in self.membership.members()})

    def test_a_few_members_of_each_other_domain_are_followed(self):
        everyone = [m for m in fleet(400, 4) if m.name != ME.name] + [OTHER]
        self.hear(probe(ME.name, 5, tuple(everyone)))
        counts = [len(self.membership.live(None, f"kgn-{domain}")) for domain in "abcd"]
        self.assertEqual(counts, [101, 8, 8, 8])
        self.assertIs(self.membership.live(), self.membership.live())
        stranger = replace(member(900, "entry", "kgn-d"), state=DEAD)
        self.hear(probe(ME.name, 5, (stranger,)))
        self.assertIsNone(self.membership.get(stranger.name))
        nodes = [VmNode(*_listed(m)) for m in everyone]
        self.membership.on_vms(nodes)
        self.assertLessEqual(len(self.membership._candidates.nodes()), 100 + 3 * 32)

    def test_dead_members_are_forgotten_in_the_end(self):
        timings = MembershipTimings(forget_dead_ms=10_000)
        self.membership = Membership(ME, random.Random(1), timings)
        self.hear(probe(ME.name, 5))
        for now_ms in range(0, 60_000, 100):
            self.membership.tick(now_ms)
        self.assertIsNone(self.membership.get(OTHER.name))


def _listed(m) -> tuple:
    return m.name, m.role, m.failure_domain, m.ip, m.peer_port, 8000, "live"
