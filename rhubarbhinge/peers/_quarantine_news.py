"""News of requests that end searchers, told to the other entries."""

import random
from collections.abc import Iterable

from rhubarbhinge.members import Membership
from rhubarbhinge.quarantine import Quarantine, SuspicionMessage
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils import rendezvous

NEAR_RECEIVERS = 8
"""Entries of the own failure domain that get news at once, from each that hears it for the first
time: at 40 entries a domain e**-8 of them hear nothing of the first round, one in 3,000."""
FAR_RECEIVERS = 2
"""Entries of each other domain that get it at once, from each that hears it for the first time."""
PAUSE_MS = 100.0
"""At most one burst in so long: 20 datagrams of 300 bytes, 6 KB in the rare second that has one."""


class QuarantineNews:
    """Tells the other entries what becomes known of requests that end searchers.

    The caller of such a request comes back within some milliseconds, at any entry. So news goes out
    at once and is passed on by all that hear it, which takes two hops of 1 to 2 ms. Entries that
    start, or were held up or cut off, hear it by heartbeats, which carry it as long as it holds.

    :param timers: the timer service.
    :param membership: the other entries; sends heartbeats.
    :param quarantine: what is known.
    :param rng: draws the receivers.
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
        self._told_ms = float("-inf")
        self._due = False

    def tell(self) -> None:
        """Tell it now, or after a pause when something was told just before."""
        if self._due:
            return
        wait_ms = self._told_ms + PAUSE_MS - self._timers.now_ms()
        if wait_ms <= 0.0:
            self._spread()
        else:
            self._due = True
            self._timers.after(wait_ms, self._spread)

    def carried(self) -> tuple[SuspicionMessage, ...]:
        """Give what a heartbeat carries; part of it is drawn anew for each receiver.

        :returns: the suspicions.
        """
        now_ms = self._timers.now_ms()
        return tuple(
            SuspicionMessage.from_suspicion(known, now_ms)
            for known in self._quarantine.suspicions_to_send()
        )

    def take(self, told: Iterable[SuspicionMessage]) -> None:
        """Take what a heartbeat carried, and pass on what was new of it.

        :param told: the suspicions.
        """
        now_ms = self._timers.now_ms()
        if self._quarantine.merge([one.to_suspicion(now_ms) for one in told]):
            self.tell()

    def may_try(self, fingerprint: str) -> bool:
        """Tell whether this entry is the one that tries a request again.

        All that know the same entries agree on it without asking (rendezvous hashing); each side of
        a cut has one.

        :param fingerprint: the request.
        :returns: whether it is.
        """
        me = self._membership.me.name
        names = [me, *(member.name for member in self._membership.all_live())]
        return me == max(names, key=lambda name: rendezvous.score(fingerprint, name))

    def _spread(self) -> None:
        self._due = False
        self._told_ms = self._timers.now_ms()
        membership = self._membership
        own = membership.me.failure_domain
        for domain in membership.table.domains():
            most = NEAR_RECEIVERS if domain == own else FAR_RECEIVERS
            live = membership.live(domain)
            for member in self._rng.sample(live, min(most, len(live))):
                membership.send_to(member.ip)
