"""Membership by probes, indirect probes and suspicion, without any shared state.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with these changes: each node follows the whole of
its own failure domain but only a few members of each other one; the platform's VM list seeds the
search but proves nothing; leaving is a state that a member announces of itself; members that are
gone are probed again now and then, so that a healed split is noticed; and each probe names its
intended receiver, who answers for itself when it is another one (Beckmann, Distributed Naming in a
Factored Operating System, 2010, section 4.2.4).
"""

import math
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from rhubarbhinge.control._candidates import Candidates
from rhubarbhinge.control._datagrams import Announce, Datagrams
from rhubarbhinge.control._down_timers import DownTimers
from rhubarbhinge.control._links import Links
from rhubarbhinge.control._member_changed import MemberChanged
from rhubarbhinge.control._member_state import DEAD, LEAVING, SUSPECT, is_live
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._membership_timings import MembershipTimings
from rhubarbhinge.control._pending_probe import PendingProbe
from rhubarbhinge.control._probe_round import ProbeRound
from rhubarbhinge.control._revisions_seen import RevisionsSeen
from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.control._superseded import Superseded
from rhubarbhinge.control._vm_node import VmNode
from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._indirect_probe import IndirectProbe
from rhubarbhinge.wire._member import Member
from rhubarbhinge.wire._members_page import MembersPage
from rhubarbhinge.wire._members_request import MembersRequest
from rhubarbhinge.wire._probe import Probe
from rhubarbhinge.wire._probe_ack import ProbeAck
from rhubarbhinge.wire._wrong_receiver import WrongReceiver

JOIN_PROBES = 8
JOIN_INTERVAL_MS = 300
JOIN_ROUNDS = 10
JOIN_TRIES = 2
LEAVE_PROBES = 6
HEAL_PROBES = 4
SMALL_DOMAIN = 32
JOIN_PAGE_WAIT_MS = 500

MembershipEffect = SendDatagram | MemberChanged | RevisionsSeen | Superseded


class Membership:
    """One node's picture of the others.

    Every input returns the effects that the shell carries out. ``version`` grows with each change.

    :param self_member: this node, with its incarnation.
    :param rng: source of random choices.
    :param timings: periods and bounds.
    :param seeds: ``(ip, port)`` addresses of the settings, known before any VM list.
    """

    def __init__(
        self,
        self_member: Member,
        rng: random.Random,
        timings: MembershipTimings | None = None,
        seeds: Iterable[tuple[str, int]] = (),
    ) -> None:
        self._timings = timings or MembershipTimings()
        self._self = self_member
        self._rng = rng
        own = (self_member.ip, self_member.peer_port)
        self._seeds = tuple(address for address in seeds if address != own)
        self._table = MemberTable()
        self._table.adopt(self_member)
        self._datagrams = Datagrams(self_member, self._table)
        self._candidates = Candidates(
            self_member.name, self_member.failure_domain, self._timings.reserve_per_domain
        )
        self._pending: dict[int, PendingProbe] = {}
        self._timers = DownTimers()
        self._links = Links(self_member, self._table, self._timings.links_per_domain)
        self._near_round = ProbeRound(self._table, rng, self._is_other_near)
        self._far_round = ProbeRound(self._table, rng, self._is_far)
        self._sequence = 0
        self._last_tick_ms: int | None = None
        self._next_probe_ms = 0
        self._next_page_ms = 0
        self._next_join_ms = 0
        self._join_page_ms = 0
        self._join_rounds = 0
        self._join_tries: Counter[tuple[str, int]] = Counter()
        self._join_tried_ms = 0
        self._intervals = 0
        self._joined = False
        self._datagrams.updates.add(self_member)

    @property
    def self_member(self) -> Member:
        """This node as it describes itself."""
        return self._self

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._table.version

    @property
    def listed(self) -> int:
        """Number of live nodes in the platform's VM list; 0 before any list."""
        return self._candidates.listed

    def announce_with(self, announce: Announce) -> None:
        """Choose what rides on each probe message.

        :param announce: gives the accepted configuration at the time passed to it.
        """
        self._datagrams.announce = announce

    def has_searched(self, now_ms: int) -> bool:
        """Tell whether all silent addresses were probed twice and had time to answer.

        :param now_ms: the time.
        :returns: true from then on, and at the latest after ``JOIN_ROUNDS`` rounds of probes.
        """
        if self._join_rounds > JOIN_ROUNDS:
            return True
        waited_ms = now_ms - self._join_tried_ms
        return self._join_rounds > 0 and waited_ms >= 2 * self._timings.probe_timeout_ms

    def get(self, name: str) -> Member | None:
        """Look a member up.

        :param name: its name.
        :returns: the member in any state, or nothing.
        """
        return self._table.get(name)

    def live(self, role: str | None = None, domain: str | None = None) -> tuple[Member, ...]:
        """List the members that may get new work, this node among them.

        :param role: only this role, or any.
        :param domain: only this failure domain, or any.
        :returns: members in the order of their names; the same tuple until ``version`` changes.
        """
        return self._table.live(role, domain)

    def members(self) -> tuple[Member, ...]:
        """List all known members in any state.

        :returns: members in the order of their names.
        """
        return self._table.members()

    def on_vms(self, nodes: Iterable[tuple | VmNode]) -> list[MembershipEffect]:
        """Take the nodes of an accepted VM list as addresses to probe.

        :param nodes: ``VmNode`` fields of every listed node.
        :returns: no effects; the next ticks probe.
        """
        self._candidates.replace(VmNode(*node) for node in nodes)
        return []

    def on_pause(self, gap_ms: int, now_ms: int) -> list[MembershipEffect]:
        """Start all waits anew after this process did not run for a while.

        Silence during one's own pause proves nothing about others.

        :param gap_ms: length of the pause.
        :param now_ms: the time.
        :returns: no effects; the next tick probes.
        """
        self._pending.clear()
        self._timers.restart(self._suspicion_ms(), now_ms)
        self._next_probe_ms = now_ms
        self._last_tick_ms = now_ms
        return []

    def leave(self, now_ms: int) -> list[MembershipEffect]:
        """Announce that this node takes no new work; sticky for this incarnation.

        :param now_ms: the time.
        :returns: probes that carry the announcement, and the change.
        """
        if self._self.state == LEAVING:
            return []
        effects = self._set_self(LEAVING, self._self.counter + 1)
        return effects + self._probe_some(self._others(), LEAVE_PROBES, now_ms)

    def tick(self, now_ms: int) -> list[MembershipEffect]:
        """Let time pass: time out probes and suspicions, and send what is due.

        :param now_ms: the time; call this several times within a probe timeout.
        :returns: effects.
        """
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is not None and now_ms - last_ms > self._timings.pause_ms:
            self.on_pause(now_ms - last_ms, now_ms)
        effects = self._expire_pending(now_ms)
        effects += self._expire_suspicions(now_ms)
        if now_ms >= self._next_probe_ms:
            effects += self._probe_round(now_ms)
        if now_ms >= self._next_join_ms:
            effects += self._join_round(now_ms)
        if now_ms >= self._next_page_ms:
            effects += self._pull_page(now_ms)
        return effects

    def on_datagram(
        self, message: object, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        """Take one probe message.

        :param message: a decoded message; unknown kinds are ignored.
        :param ip: the address it came from.
        :param port: its port.
        :param now_ms: the time.
        :returns: effects, answers among them.
        """
        handler = _HANDLERS.get(type(message))
        if handler is None:
            return []
        return handler(self, message, ip, port, now_ms)

    # Inputs by kind of message.

    def _on_probe(self, probe: Probe, ip: str, port: int, now_ms: int) -> list[MembershipEffect]:
        effects = self._hear(probe.sender, probe.revisions, probe.updates, now_ms)
        if not self._is_receiver(probe.receiver_name, probe.receiver_incarnation):
            refusal = WrongReceiver(
                probe.sequence, self._self, probe.receiver_name, probe.receiver_incarnation
            )
            return effects + self._superseded_by(probe) + [SendDatagram(ip, port, refusal)]
        return effects + [
            self._datagrams.ack(probe.sequence, self._self, probe.sender, (ip, port), now_ms)
        ]

    def _on_ack(self, ack: ProbeAck, ip: str, port: int, now_ms: int) -> list[MembershipEffect]:
        pending = self._pending.pop(ack.sequence, None)
        was_live = self._is_live(ack.subject.name)
        effects = self._hear(ack.sender, ack.revisions, ack.updates, now_ms)
        effects += self._claims((ack.subject,), now_ms)
        if pending is not None and pending.relay_ip:
            asker = (pending.relay_ip, pending.relay_port)
            relayed = self._datagrams.ack(pending.relay_sequence, ack.subject, None, asker, now_ms)
            effects.append(relayed)
        if not was_live and self._is_live(ack.subject.name):
            effects += self._probe_gone(ack.subject.failure_domain, HEAL_PROBES, now_ms)
        if not self._joined and now_ms >= self._join_page_ms:
            effects += self._join_page(ack.sender, "", now_ms)
        return effects

    def _on_indirect(
        self, request: IndirectProbe, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        effects = self._hear(request.sender, request.revisions, request.updates, now_ms)
        wait = PendingProbe(
            request.target.name,
            request.target.incarnation,
            now_ms + self._timings.probe_timeout_ms,
            indirect=True,
            relay_ip=ip,
            relay_port=port,
            relay_sequence=request.sequence,
        )
        return effects + [self._send_probe(request.target, wait, now_ms)]

    def _on_wrong_receiver(
        self, refusal: WrongReceiver, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        pending = self._pending.get(refusal.sequence)
        if pending is None or pending.name != refusal.intended_name:
            return []
        del self._pending[refusal.sequence]
        effects = self._claims((refusal.sender,), now_ms)
        known = self._table.get(refusal.intended_name)
        if known is None or refusal.sender.name == known.name:
            return effects
        if (known.ip, known.peer_port, known.incarnation) == (ip, port, pending.incarnation):
            effects += self._claims((replace(known, state=DEAD),), now_ms)
        return effects

    def _on_page_request(
        self, request: MembersRequest, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        effects = self._hear(request.sender, request.revisions, (), now_ms)
        return effects + [self._datagrams.page(request, (ip, port), now_ms)]

    def _on_page(
        self, page: MembersPage, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        effects = self._hear(page.sender, page.revisions, (), now_ms)
        effects += self._claims(page.updates, now_ms, spread=False)
        if self._joined or page.sender.failure_domain != self._self.failure_domain:
            return effects
        if not page.next_name:
            self._joined = True
            return effects
        return effects + self._join_page(page.sender, page.next_name, now_ms)

    # What is heard.

    def _is_receiver(self, name: str, incarnation: int) -> bool:
        if name and name != self._self.name:
            return False
        return not incarnation or incarnation == self._self.incarnation

    def _superseded_by(self, probe: Probe) -> list[MembershipEffect]:
        newer = probe.receiver_incarnation > self._self.incarnation
        if probe.receiver_name != self._self.name or not newer:
            return []
        return [Superseded(replace(self._self, incarnation=probe.receiver_incarnation))]

    def _hear(
        self,
        sender: Member,
        revisions: ConfigDigest,
        updates: tuple[Member, ...],
        now_ms: int,
    ) -> list[MembershipEffect]:
        if sender.name == self._self.name:
            return self._claim_of_self(sender)
        effects = self._claims((sender, *updates), now_ms)
        effects.append(RevisionsSeen(sender.name, revisions))
        return effects

    def _claims(
        self, claims: Iterable[Member], now_ms: int, spread: bool = True
    ) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for claim in claims:
            if claim.name == self._self.name:
                effects += self._claim_of_self(claim)
            elif self._links.admits(claim):
                effects += self._adopt(claim, now_ms, spread)
        return effects

    def _claim_of_self(self, claim: Member) -> list[MembershipEffect]:
        if claim.incarnation > self._self.incarnation:
            return [Superseded(claim)]
        if claim.incarnation < self._self.incarnation:
            return []
        if claim.state not in (SUSPECT, DEAD) or claim.counter < self._self.counter:
            return []
        return self._set_self(self._self.state, claim.counter + 1)

    def _set_self(self, state: str, counter: int) -> list[MembershipEffect]:
        self._self = replace(self._self, state=state, counter=counter)
        self._datagrams.me = self._self
        self._table.adopt(self._self)
        self._datagrams.updates.add(self._self)
        return [MemberChanged(self._self)]

    def _adopt(self, claim: Member, now_ms: int, spread: bool) -> list[MembershipEffect]:
        displaced = self._links.displaced(claim)
        if not self._table.adopt(claim):
            return []
        if displaced is not None:
            self._forget(displaced)
        self._timers.changed(claim, self._suspicion_ms(), now_ms)
        self._spread(claim, spread)
        return [MemberChanged(claim)]

    def _spread(self, member: Member, wanted: bool) -> None:
        if not wanted:
            self._datagrams.updates.discard(member.name)
        elif self._links.is_near(member) or self._is_small():
            self._datagrams.updates.add(member)

    def _forget(self, name: str) -> None:
        self._table.remove(name)
        self._timers.forget(name)

    # Timeouts.

    def _expire_pending(self, now_ms: int) -> list[MembershipEffect]:
        expired = [key for key, wait in self._pending.items() if now_ms >= wait.expires_ms]
        effects: list[MembershipEffect] = []
        for sequence in expired:
            effects += self._unanswered(sequence, now_ms)
        return effects

    def _unanswered(self, sequence: int, now_ms: int) -> list[MembershipEffect]:
        wait = self._pending[sequence]
        member = self._table.get(wait.name)
        if wait.relay_ip or member is None or member.incarnation != wait.incarnation:
            del self._pending[sequence]
            return []
        if member.state == DEAD:
            del self._pending[sequence]
            return []
        if not wait.indirect:
            return self._ask_others(sequence, wait, member, now_ms)
        del self._pending[sequence]
        if member.state == SUSPECT:
            return []
        state = DEAD if member.state == LEAVING else SUSPECT
        return self._claims((replace(member, state=state),), now_ms)

    def _ask_others(
        self, sequence: int, wait: PendingProbe, member: Member, now_ms: int
    ) -> list[MembershipEffect]:
        wait.indirect = True
        wait.expires_ms = now_ms + 2 * self._timings.probe_timeout_ms
        helpers = [m for m in self._helpers(member) if m.name != member.name]
        chosen = self._rng.sample(helpers, min(self._timings.indirect_probes, len(helpers)))
        return [self._datagrams.indirect(sequence, one, member, now_ms) for one in chosen]

    def _helpers(self, member: Member) -> list[Member]:
        near = [m for m in self.live(None, member.failure_domain) if m.name != self._self.name]
        others = [m for m in near if m.name != member.name]
        return others or self._others()

    def _expire_suspicions(self, now_ms: int) -> list[MembershipEffect]:
        effects: list[MembershipEffect] = []
        for suspected in self._timers.expired(now_ms):
            effects += self._claims((replace(suspected, state=DEAD),), now_ms)
        return effects

    def _suspicion_ms(self) -> int:
        members = self._table.live_count(self._self.failure_domain)
        return int(self._timings.suspicion_ms * max(1.0, math.log10(members + 1)))

    def _forget_dead(self, now_ms: int) -> None:
        for name in self._timers.dead_before(now_ms - self._timings.forget_dead_ms):
            self._forget(name)

    # What is sent.

    def _probe_round(self, now_ms: int) -> list[MembershipEffect]:
        self._intervals += 1
        self._forget_dead(now_ms)
        self._next_probe_ms = now_ms + self._jittered(self._timings.probe_interval_ms)
        effects: list[MembershipEffect] = []
        for member in (self._near_round.next(), self._far_round.next()):
            if member is not None:
                effects += self._probe(member, now_ms)
        if self._intervals % self._timings.retry_dead_every == 0:
            effects += self._probe_gone(None, 1, now_ms)
        return effects

    def _join_round(self, now_ms: int) -> list[MembershipEffect]:
        self._join_rounds += 1
        self._next_join_ms = now_ms + self._jittered(JOIN_INTERVAL_MS)
        if self._join_rounds > JOIN_ROUNDS and self._others():
            self._next_join_ms = now_ms + self._jittered(self._timings.page_interval_ms)
            return []
        gone = self._gone()
        untried = [m for m in gone if self._join_tries[m.ip, m.peer_port] < JOIN_TRIES]
        if untried:
            self._join_tried_ms = now_ms
        chosen = self._probe_some(untried or gone, JOIN_PROBES, now_ms)
        self._join_tries.update((effect.ip, effect.port) for effect in chosen)
        return chosen

    def _jittered(self, period_ms: int) -> int:
        return int(period_ms * self._rng.uniform(0.9, 1.1))

    def _is_other_near(self, member: Member) -> bool:
        return self._links.is_near(member) and member.name != self._self.name

    def _is_far(self, member: Member) -> bool:
        return not self._links.is_near(member)

    def _others(self) -> list[Member]:
        return [member for member in self.live() if member.name != self._self.name]

    def _is_live(self, name: str) -> bool:
        member = self._table.get(name)
        return member is not None and is_live(member)

    def _is_small(self) -> bool:
        return self._table.live_count(self._self.failure_domain) <= SMALL_DOMAIN

    def _probe(self, member: Member, now_ms: int) -> list[SendDatagram]:
        expires_ms = now_ms + self._timings.probe_timeout_ms
        wait = PendingProbe(member.name, member.incarnation, expires_ms)
        return [self._send_probe(member, wait, now_ms)]

    def _probe_gone(self, domain: str | None, count: int, now_ms: int) -> list[MembershipEffect]:
        targets = [m for m in self._gone() if domain in (None, m.failure_domain)]
        return self._probe_some(targets, count, now_ms)

    def _probe_some(self, members: list[Member], count: int, now_ms: int) -> list[SendDatagram]:
        effects: list[SendDatagram] = []
        for member in self._rng.sample(members, min(count, len(members))):
            effects += self._probe(member, now_ms)
        return effects

    def _gone(self) -> list[Member]:
        gone = [self._table.get(name) for name in self._timers.dead()]
        found = [member for member in gone if member is not None and self._links.lacks(member)]
        nodes = [node for node in self._candidates.nodes() if self._table.get(node.name) is None]
        found += [member for member in map(_unconfirmed, nodes) if self._links.lacks(member)]
        if self._seeds:
            known = {(member.ip, member.peer_port) for member in self._table.members()}
            found += [_unnamed(*address) for address in self._seeds if address not in known]
        return found

    def _send_probe(self, member: Member, wait: PendingProbe, now_ms: int) -> SendDatagram:
        self._sequence += 1
        self._pending[self._sequence] = wait
        return self._datagrams.probe(self._sequence, member, now_ms)

    def _pull_page(self, now_ms: int) -> list[MembershipEffect]:
        self._next_page_ms = now_ms + self._jittered(self._timings.page_interval_ms)
        near = [member for member in self._others() if self._links.is_near(member)]
        if not near:
            return []
        start = self._rng.choice(self._table.members()).name
        return self._request_page(self._rng.choice(near), start, now_ms)

    def _join_page(self, member: Member, after_name: str, now_ms: int) -> list[MembershipEffect]:
        self._join_page_ms = now_ms + JOIN_PAGE_WAIT_MS
        return self._request_page(member, after_name, now_ms)

    def _request_page(self, member: Member, after_name: str, now_ms: int) -> list[MembershipEffect]:
        self._sequence += 1
        domain = "" if self._links.is_near(member) else self._self.failure_domain
        return [self._datagrams.page_request(self._sequence, member, domain, after_name, now_ms)]


def _unnamed(ip: str, port: int) -> Member:
    return Member("", "", "", ip, port, 0, DEAD)


def _unconfirmed(node: VmNode) -> Member:
    return Member(node.name, node.role, node.failure_domain, node.ip, node.peer_port, 0, DEAD)


_HANDLERS = {
    Probe: Membership._on_probe,
    ProbeAck: Membership._on_ack,
    IndirectProbe: Membership._on_indirect,
    WrongReceiver: Membership._on_wrong_receiver,
    MembersRequest: Membership._on_page_request,
    MembersPage: Membership._on_page,
}
