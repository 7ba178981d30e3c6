"""Takes claims about members, and refutes those about this node."""

import math
from collections.abc import Iterable
from dataclasses import replace

from rhubarbhinge.control._datagrams import Datagrams
from rhubarbhinge.control._down_timers import DownTimers
from rhubarbhinge.control._links import Links
from rhubarbhinge.control._member_changed import MemberChanged
from rhubarbhinge.control._member_state import DEAD, SUSPECT
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._membership_effect import MembershipEffect
from rhubarbhinge.control._membership_timings import MembershipTimings
from rhubarbhinge.control._revisions_seen import RevisionsSeen
from rhubarbhinge.control._superseded import Superseded
from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._member import Member

SMALL_DOMAIN = 32
"""Up to this many live members, the own failure domain spreads news of the others too."""


class Claims:
    """What one node holds of itself and of the others.

    :param me: this node, with its incarnation.
    :param table: the members.
    :param links: which members of other failure domains are followed.
    :param datagrams: carries what is new, and this node's own state.
    :param timings: periods and bounds.
    :ivar me: this node as it describes itself.
    """

    def __init__(
        self,
        me: Member,
        table: MemberTable,
        links: Links,
        datagrams: Datagrams,
        timings: MembershipTimings,
    ) -> None:
        self.me = me
        self._table = table
        self._links = links
        self._datagrams = datagrams
        self._timings = timings
        self._timers = DownTimers()
        table.adopt(me)
        datagrams.updates.add(me)

    def hear(
        self,
        sender: Member,
        revisions: ConfigDigest,
        updates: tuple[Member, ...],
        now_ms: int,
    ) -> list[MembershipEffect]:
        """Take what a message carries besides its purpose.

        :param sender: who sent it.
        :param revisions: the sender's configuration.
        :param updates: what it says of others.
        :param now_ms: the time.
        :returns: changes, and the revisions; a sender with this node's name is only refuted.
        """
        if sender.name == self.me.name:
            return self._claim_of_self(sender)
        effects = self.take((sender, *updates), now_ms)
        effects.append(RevisionsSeen(sender.name, revisions))
        return effects

    def take(
        self, claims: Iterable[Member], now_ms: int, spread: bool = True
    ) -> list[MembershipEffect]:
        """Take claims, as far as they prevail over what is known and are of followed members.

        :param claims: members as others describe them.
        :param now_ms: the time.
        :param spread: whether to pass on what is new.
        :returns: changes.
        """
        effects: list[MembershipEffect] = []
        for claim in claims:
            if claim.name == self.me.name:
                effects += self._claim_of_self(claim)
            elif self._links.admits(claim):
                effects += self._adopt(claim, now_ms, spread)
        return effects

    def set_self(self, state: str, counter: int) -> list[MembershipEffect]:
        """Change this node's own state.

        :param state: the state.
        :param counter: above that of every claim to refute.
        :returns: the change.
        """
        self.me = replace(self.me, state=state, counter=counter)
        self._datagrams.me = self.me
        self._table.adopt(self.me)
        self._datagrams.updates.add(self.me)
        return [MemberChanged(self.me)]

    def expire_suspicions(self, now_ms: int) -> list[MembershipEffect]:
        """Hold for dead the suspected members that did not refute in time.

        :param now_ms: the time.
        :returns: changes.
        """
        effects: list[MembershipEffect] = []
        for suspected in self._timers.expired(now_ms):
            effects += self.take((replace(suspected, state=DEAD),), now_ms)
        return effects

    def restart_suspicions(self, now_ms: int) -> None:
        """Give all suspected members their whole time again.

        :param now_ms: the time.
        """
        self._timers.restart(self._suspicion_ms(), now_ms)

    def forget_dead(self, now_ms: int) -> None:
        """Forget the members that have been dead for long.

        :param now_ms: the time.
        """
        for name in self._timers.dead_before(now_ms - self._timings.forget_dead_ms):
            self._forget(name)

    def dead(self) -> list[str]:
        """List the members that are held for dead.

        :returns: names.
        """
        return self._timers.dead()

    def _claim_of_self(self, claim: Member) -> list[MembershipEffect]:
        if claim.incarnation > self.me.incarnation:
            return [Superseded(claim)]
        if claim.incarnation < self.me.incarnation:
            return []
        if claim.state not in (SUSPECT, DEAD) or claim.counter < self.me.counter:
            return []
        return self.set_self(self.me.state, claim.counter + 1)

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

    def _is_small(self) -> bool:
        return self._table.live_count(self.me.failure_domain) <= SMALL_DOMAIN

    def _forget(self, name: str) -> None:
        self._table.remove(name)
        self._timers.forget(name)

    def _suspicion_ms(self) -> int:
        members = self._table.live_count(self.me.failure_domain)
        return int(self._timings.suspicion_ms * max(1.0, math.log10(members + 1)))
