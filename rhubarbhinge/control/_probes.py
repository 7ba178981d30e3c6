"""Sends probes, and acts on those that get no answer."""

import random
from dataclasses import replace

from rhubarbhinge.control._claims import Claims
from rhubarbhinge.control._datagrams import Datagrams
from rhubarbhinge.control._member_state import DEAD, LEAVING, SUSPECT
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._membership_effect import MembershipEffect
from rhubarbhinge.control._membership_timings import MembershipTimings
from rhubarbhinge.control._pending_probe import PendingProbe
from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.wire._indirect_probe import IndirectProbe
from rhubarbhinge.wire._member import Member


class Probes:
    """The probes of one node that wait for an answer.

    :param claims: takes the suspicions.
    :param table: the members.
    :param datagrams: makes the messages.
    :param rng: source of random choices.
    :param timings: periods and bounds.
    """

    def __init__(
        self,
        claims: Claims,
        table: MemberTable,
        datagrams: Datagrams,
        rng: random.Random,
        timings: MembershipTimings,
    ) -> None:
        self._claims = claims
        self._table = table
        self._datagrams = datagrams
        self._rng = rng
        self._timings = timings
        self._pending: dict[int, PendingProbe] = {}
        self._sequence = 0

    def next_sequence(self) -> int:
        """Number a message.

        :returns: a number that was not used before.
        """
        self._sequence += 1
        return self._sequence

    def clear(self) -> None:
        """Wait for no answer any more."""
        self._pending.clear()

    def send(self, member: Member, now_ms: int) -> SendDatagram:
        """Probe a member.

        :param member: the member; its name may be empty.
        :param now_ms: the time.
        :returns: the probe.
        """
        expires_ms = now_ms + self._timings.probe_timeout_ms
        return self._send(member, PendingProbe(member.name, member.incarnation, expires_ms), now_ms)

    def send_some(self, members: list[Member], count: int, now_ms: int) -> list[SendDatagram]:
        """Probe some of several members.

        :param members: the members.
        :param count: how many at most, chosen at random.
        :param now_ms: the time.
        :returns: the probes.
        """
        chosen = self._rng.sample(members, min(count, len(members)))
        return [self.send(member, now_ms) for member in chosen]

    def send_for(self, request: IndirectProbe, asker: tuple[str, int], now_ms: int) -> SendDatagram:
        """Probe a member on another's behalf.

        :param request: what was asked for.
        :param asker: address that the answer is passed on to.
        :param now_ms: the time.
        :returns: the probe.
        """
        target = request.target
        wait = PendingProbe(
            target.name,
            target.incarnation,
            now_ms + self._timings.probe_timeout_ms,
            indirect=True,
            relay_ip=asker[0],
            relay_port=asker[1],
            relay_sequence=request.sequence,
        )
        return self._send(target, wait, now_ms)

    def answered(self, sequence: int) -> PendingProbe | None:
        """Take the answer to a probe.

        :param sequence: its number.
        :returns: the probe, nothing if none waits under this number.
        """
        return self._pending.pop(sequence, None)

    def refused(self, sequence: int, name: str) -> PendingProbe | None:
        """Take the word of a receiver that it is not the one that was meant.

        :param sequence: the probe's number.
        :param name: the name that the probe was for.
        :returns: the probe, nothing if none for this name waits under this number.
        """
        pending = self._pending.get(sequence)
        if pending is None or pending.name != name:
            return None
        del self._pending[sequence]
        return pending

    def expire(self, now_ms: int) -> list[MembershipEffect]:
        """Act on the probes whose wait is over: ask others first, then suspect.

        :param now_ms: the time.
        :returns: requests to other members, and changes.
        """
        expired = [key for key, wait in self._pending.items() if now_ms >= wait.expires_ms]
        effects: list[MembershipEffect] = []
        for sequence in expired:
            effects += self._unanswered(sequence, now_ms)
        return effects

    def _send(self, member: Member, wait: PendingProbe, now_ms: int) -> SendDatagram:
        sequence = self.next_sequence()
        self._pending[sequence] = wait
        return self._datagrams.probe(sequence, member, now_ms)

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
        return self._claims.take((replace(member, state=state),), now_ms)

    def _ask_others(
        self, sequence: int, wait: PendingProbe, member: Member, now_ms: int
    ) -> list[MembershipEffect]:
        wait.indirect = True
        wait.expires_ms = now_ms + 2 * self._timings.probe_timeout_ms
        helpers = self._helpers(member)
        chosen = self._rng.sample(helpers, min(self._timings.indirect_probes, len(helpers)))
        return [self._datagrams.indirect(sequence, one, member, now_ms) for one in chosen]

    def _helpers(self, member: Member) -> list[Member]:
        names = (self._claims.me.name, member.name)
        near = [m for m in self._table.live(None, member.failure_domain) if m.name not in names]
        return near or [m for m in self._table.live(None, None) if m.name not in names]
