"""Membership by probes, indirect probes and suspicion, without any shared state.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with these changes: each node follows the whole of
its own failure domain but only a few members of each other one; the platform's VM list seeds the
search but proves nothing; leaving is a state that a member announces of itself; members that are
gone are probed again now and then, so that a healed split is noticed; and each probe names its
intended receiver, who answers for itself when it is another one (Beckmann, Distributed Naming in a
Factored Operating System, 2010, section 4.2.4).
"""

import random
from collections.abc import Iterable
from dataclasses import replace

from rhubarbhinge.control._candidates import Candidates
from rhubarbhinge.control._claims import Claims
from rhubarbhinge.control._datagrams import Announce, Datagrams
from rhubarbhinge.control._joining import JOIN_INTERVAL_MS, Joining
from rhubarbhinge.control._links import Links
from rhubarbhinge.control._member_state import DEAD, LEAVING, is_live
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._membership_effect import MembershipEffect
from rhubarbhinge.control._membership_timings import MembershipTimings
from rhubarbhinge.control._probe_round import ProbeRound
from rhubarbhinge.control._probes import Probes
from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.control._silent_addresses import SilentAddresses
from rhubarbhinge.control._superseded import Superseded
from rhubarbhinge.control._vm_node import VmNode
from rhubarbhinge.wire._indirect_probe import IndirectProbe
from rhubarbhinge.wire._member import Member
from rhubarbhinge.wire._members_page import MembersPage
from rhubarbhinge.wire._members_request import MembersRequest
from rhubarbhinge.wire._probe import Probe
from rhubarbhinge.wire._probe_ack import ProbeAck
from rhubarbhinge.wire._wrong_receiver import WrongReceiver

JOIN_PROBES = 8
"""Most probes in one round of the search for others."""

LEAVE_PROBES = 6
"""Probes that carry the announcement of leaving at once."""

HEAL_PROBES = 4
"""Probes to dead members of a failure domain from which one has come back."""

JOIN_PAGE_WAIT_MS = 500
"""A page of the first member list that has not come by then is asked for again."""


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
        self._rng = rng
        self._table = MemberTable()
        self._datagrams = Datagrams(self_member, self._table)
        self._links = Links(self_member, self._table, self._timings.links_per_domain)
        self._claims = Claims(self_member, self._table, self._links, self._datagrams, self._timings)
        self._candidates = Candidates(
            self_member.name, self_member.failure_domain, self._timings.reserve_per_domain
        )
        own = (self_member.ip, self_member.peer_port)
        others = tuple(address for address in seeds if address != own)
        self._silent = SilentAddresses(
            self._claims, self._table, self._links, self._candidates, others
        )
        self._probes = Probes(self._claims, self._table, self._datagrams, rng, self._timings)
        self._joining = Joining(self._timings.probe_timeout_ms)
        self._near_round = ProbeRound(self._table, rng, self._is_other_near)
        self._far_round = ProbeRound(self._table, rng, self._is_far)
        self._last_tick_ms: int | None = None
        self._next_probe_ms = 0
        self._next_page_ms = 0
        self._next_join_ms = 0
        self._join_page_ms = 0
        self._intervals = 0
        self._joined = False

    @property
    def self_member(self) -> Member:
        """This node as it describes itself."""
        return self._claims.me

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
        :returns: true from then on, and at the latest after the first rounds of probes.
        """
        return self._joining.has_searched(now_ms)

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
        self._probes.clear()
        self._claims.restart_suspicions(now_ms)
        self._next_probe_ms = now_ms
        self._last_tick_ms = now_ms
        return []

    def leave(self, now_ms: int) -> list[MembershipEffect]:
        """Announce that this node takes no new work; sticky for this incarnation.

        :param now_ms: the time.
        :returns: probes that carry the announcement, and the change.
        """
        me = self._claims.me
        if me.state == LEAVING:
            return []
        effects = self._claims.set_self(LEAVING, me.counter + 1)
        return effects + self._probes.send_some(self._others(), LEAVE_PROBES, now_ms)

    def tick(self, now_ms: int) -> list[MembershipEffect]:
        """Let time pass: time out probes and suspicions, and send what is due.

        :param now_ms: the time; call this several times within a probe timeout.
        :returns: effects.
        """
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is not None and now_ms - last_ms > self._timings.pause_ms:
            self.on_pause(now_ms - last_ms, now_ms)
        effects = self._probes.expire(now_ms)
        effects += self._claims.expire_suspicions(now_ms)
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
        effects = self._claims.hear(probe.sender, probe.revisions, probe.updates, now_ms)
        me = self._claims.me
        if not _is_receiver(me, probe):
            name, incarnation = probe.receiver_name, probe.receiver_incarnation
            refusal = WrongReceiver(probe.sequence, me, name, incarnation)
            return effects + _superseded_by(me, probe) + [SendDatagram(ip, port, refusal)]
        return effects + [self._datagrams.ack(probe.sequence, me, probe.sender, (ip, port), now_ms)]

    def _on_ack(self, ack: ProbeAck, ip: str, port: int, now_ms: int) -> list[MembershipEffect]:
        pending = self._probes.answered(ack.sequence)
        was_live = self._is_live(ack.subject.name)
        effects = self._claims.hear(ack.sender, ack.revisions, ack.updates, now_ms)
        effects += self._claims.take((ack.subject,), now_ms)
        if pending is not None and pending.relay_ip:
            asker = (pending.relay_ip, pending.relay_port)
            relayed = self._datagrams.ack(pending.relay_sequence, ack.subject, None, asker, now_ms)
            effects.append(relayed)
        if not was_live and self._is_live(ack.subject.name):
            silent = self._silent.members(ack.subject.failure_domain)
            effects += self._probes.send_some(silent, HEAL_PROBES, now_ms)
        if not self._joined and now_ms >= self._join_page_ms:
            effects += self._join_page(ack.sender, "", now_ms)
        return effects

    def _on_indirect(
        self, request: IndirectProbe, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        effects = self._claims.hear(request.sender, request.revisions, request.updates, now_ms)
        return effects + [self._probes.send_for(request, (ip, port), now_ms)]

    def _on_wrong_receiver(
        self, refusal: WrongReceiver, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        pending = self._probes.refused(refusal.sequence, refusal.intended_name)
        if pending is None:
            return []
        effects = self._claims.take((refusal.sender,), now_ms)
        known = self._table.get(refusal.intended_name)
        if known is None or refusal.sender.name == known.name:
            return effects
        if (known.ip, known.peer_port, known.incarnation) == (ip, port, pending.incarnation):
            effects += self._claims.take((replace(known, state=DEAD),), now_ms)
        return effects

    def _on_page_request(
        self, request: MembersRequest, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        effects = self._claims.hear(request.sender, request.revisions, (), now_ms)
        return effects + [self._datagrams.page(request, (ip, port), now_ms)]

    def _on_page(
        self, page: MembersPage, ip: str, port: int, now_ms: int
    ) -> list[MembershipEffect]:
        effects = self._claims.hear(page.sender, page.revisions, (), now_ms)
        effects += self._claims.take(page.updates, now_ms, spread=False)
        if self._joined or not self._links.is_near(page.sender):
            return effects
        if not page.next_name:
            self._joined = True
            return effects
        return effects + self._join_page(page.sender, page.next_name, now_ms)

    # What is sent.

    def _probe_round(self, now_ms: int) -> list[MembershipEffect]:
        self._intervals += 1
        self._claims.forget_dead(now_ms)
        self._next_probe_ms = now_ms + self._jittered(self._timings.probe_interval_ms)
        effects: list[MembershipEffect] = []
        for member in (self._near_round.next(), self._far_round.next()):
            if member is not None:
                effects.append(self._probes.send(member, now_ms))
        if self._intervals % self._timings.retry_dead_every == 0:
            effects += self._probes.send_some(self._silent.members(), 1, now_ms)
        return effects

    def _join_round(self, now_ms: int) -> list[MembershipEffect]:
        self._next_join_ms = now_ms + self._jittered(JOIN_INTERVAL_MS)
        if not self._joining.begin_round(bool(self._others())):
            self._next_join_ms = now_ms + self._jittered(self._timings.page_interval_ms)
            return []
        targets = self._joining.targets(self._silent.members(), now_ms)
        probes = self._probes.send_some(targets, JOIN_PROBES, now_ms)
        self._joining.probed(probes)
        return probes

    def _jittered(self, period_ms: int) -> int:
        return int(period_ms * self._rng.uniform(0.9, 1.1))

    def _is_other_near(self, member: Member) -> bool:
        return self._links.is_near(member) and member.name != self._claims.me.name

    def _is_far(self, member: Member) -> bool:
        return not self._links.is_near(member)

    def _others(self) -> list[Member]:
        me = self._claims.me
        return [member for member in self.live() if member.name != me.name]

    def _is_live(self, name: str) -> bool:
        member = self._table.get(name)
        return member is not None and is_live(member)

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
        sequence = self._probes.next_sequence()
        domain = "" if self._links.is_near(member) else self._claims.me.failure_domain
        return [self._datagrams.page_request(sequence, member, domain, after_name, now_ms)]


def _is_receiver(me: Member, probe: Probe) -> bool:
    if probe.receiver_name and probe.receiver_name != me.name:
        return False
    return not probe.receiver_incarnation or probe.receiver_incarnation == me.incarnation


def _superseded_by(me: Member, probe: Probe) -> list[MembershipEffect]:
    newer = probe.receiver_incarnation > me.incarnation
    if probe.receiver_name != me.name or not newer:
        return []
    return [Superseded(replace(me, incarnation=probe.receiver_incarnation))]


_HANDLERS = {
    Probe: Membership._on_probe,
    ProbeAck: Membership._on_ack,
    IndirectProbe: Membership._on_indirect,
    WrongReceiver: Membership._on_wrong_receiver,
    MembersRequest: Membership._on_page_request,
    MembersPage: Membership._on_page,
}
