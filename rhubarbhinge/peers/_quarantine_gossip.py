"""Exchange of suspicions about requests that crash searchers with the other entries."""

import random
from collections.abc import Iterable

from rhubarbhinge.members import Membership
from rhubarbhinge.quarantine import Quarantine, SuspicionMessage
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils import rendezvous

LOCAL_FANOUT = 8
"""Entries of the same failure domain that get a new suspicion at once from each entry that learns
it. With 40 entries in a domain, a share of e**-8 of them, one in 3,000, misses the first round."""
REMOTE_FANOUT = 2
"""Entries of each other domain that get a new suspicion at once from each entry that learns it."""
MIN_INTERVAL_MS = 100.0
"""Shortest interval between two rounds. A round takes 20 datagrams of 300 bytes, 6 KB in the rare
second that has one."""


class QuarantineGossip:
    """Spreads suspicions about requests that crash searchers among the entries.

    The caller of such a request retries within some milliseconds, at any entry. New suspicions are
    therefore sent at once and forwarded by each entry that learns them, which takes two hops of 1
    to 2 ms. Entries that start, or were suspended or cut off, learn them from heartbeats, which
    carry them as long as they hold.

    :param timers: the timer service.
    :param membership: the members of the fleet; sends heartbeats.
    :param quarantine: the suspicions of this entry.
    :param rng: chooses the receivers.
    """

    def __init__(
        self,
        timers: TimerService,
        membership: Membership,
        quarantine: Quarantine,
        rng: random.Random,
    ):
        self._timers = timers
        self._membership = membership
        self._quarantine = quarantine
        self._rng = rng
        self._last_round_ms = float("-inf")
        self._is_scheduled = False

    def announce(self) -> None:
        """Send suspicions to peers now, or after ``MIN_INTERVAL_MS`` since the last round."""
        if self._is_scheduled:
            return
        wait_ms = self._last_round_ms + MIN_INTERVAL_MS - self._timers.now_ms()
        if wait_ms <= 0.0:
            self._send_round()
        else:
            self._is_scheduled = True
            self._timers.after(wait_ms, self._send_round)

    def outgoing(self) -> tuple[SuspicionMessage, ...]:
        """Return the suspicions for one heartbeat, part of them chosen at random for each receiver.

        :returns: the suspicions.
        """
        now_ms = self._timers.now_ms()
        return tuple(
            SuspicionMessage.from_suspicion(known, now_ms)
            for known in self._quarantine.suspicions_to_send()
        )

    def receive(self, suspicions: Iterable[SuspicionMessage]) -> None:
        """Process the suspicions of a heartbeat, and forward them if any was new.

        :param suspicions: the suspicions.
        """
        now_ms = self._timers.now_ms()
        if self._quarantine.merge([one.to_suspicion(now_ms) for one in suspicions]):
            self.announce()

    def may_try(self, fingerprint: str) -> bool:
        """Check whether this entry is the one that tries a suspected request again.

        All entries that know the same members agree on it without communication (rendezvous
        hashing); each side of a network partition has one.

        :param fingerprint: the request.
        :returns: whether it is.
        """
        me = self._membership.me.name
        names = [me, *(member.name for member in self._membership.all_live())]
        return me == max(names, key=lambda name: rendezvous.score(fingerprint, name))

    def _send_round(self) -> None:
        self._is_scheduled = False
        self._last_round_ms = self._timers.now_ms()
        membership = self._membership
        own = membership.me.failure_domain
        for domain in membership.table.domains():
            fanout = LOCAL_FANOUT if domain == own else REMOTE_FANOUT
            live = membership.live(domain)
            for member in self._rng.sample(live, min(fanout, len(live))):
                membership.send_heartbeat(member.ip)
