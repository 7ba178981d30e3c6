"""Which searchers may get a request now: all that are warm, and of the cold ones a limited rate."""

from collections.abc import Callable

from rhubarbhinge.fleet import ColdRule, ObservedSearcher
from rhubarbhinge.members import Membership
from rhubarbhinge.plans import Service
from rhubarbhinge.published import Follower
from rhubarbhinge.utils import rendezvous

TOLD_LATE_MS = 2_500.0
"""What a searcher publishes of itself is known here within this time: two heartbeats of it, and
the watch of an entry that follows another one."""
JOINED_MS = 6_000.0
"""A process that has just started, or was held up, sends nothing to cold searchers of a limited
rate for so long. By then it has heard of the others and they of it, also when the first lists of
entries were exchanged too early: several heartbeats and another exchange of lists."""


class ColdShares:
    """Shares the rate of a cold searcher among the processes that may be sending to it.

    A searcher that gets far more than the rate of its service while it is cold ends. Nothing counts
    the requests of all processes together, so each keeps to a part that it works out alone from the
    processes that may be sending, those that it can't hear included: as many whole requests a
    second as there are for each, or, where there are fewer than processes, one for those that come
    first in an order of names that differs from searcher to searcher. The processes of the
    searcher's own failure domain share it; others leave it alone, and reach the shard elsewhere.

    Whether a searcher is cold is told late. So one that has just been reached again, or whose
    domain is no longer evacuated, counts as cold until it would have told.

    :param follower: knows the plan, which names the rates.
    :param membership: knows the processes.
    :param rule: gives the bound.
    :param now_ms: gives the time.
    """

    def __init__(
        self,
        follower: Follower,
        membership: Membership,
        rule: Callable[[], ColdRule],
        now_ms: Callable[[], float],
    ):
        self._follower = follower
        self._membership = membership
        self._rule = rule
        self._now_ms = now_ms
        self._joined_at_ms = 0.0
        self.on_pause()

    def on_pause(self) -> None:
        """Send nothing to cold searchers for a while, as others may have joined meanwhile."""
        self._joined_at_ms = self._now_ms() + JOINED_MS

    def may_send(self, observed: ObservedSearcher, now_ms: float) -> bool:
        """Tell whether a searcher may get a request now.

        :param observed: the searcher.
        :param now_ms: the time.
        :returns: whether it is warm, bears any rate, or gets less than this process's part of it.
        """
        if now_ms >= observed.warm_at_ms and not observed.has_returned:
            return True
        plan = self._follower.plan
        service = plan.services.get(observed.searcher.service) if plan else None
        if service is None or not service.warmup_per_s or not _is_cold(observed, service, now_ms):
            return True
        if now_ms < self._joined_at_ms:
            return False
        share = self._share(observed, self._rule().max_requests(service.warmup_per_s))
        return observed.cold_sends(now_ms).has_room(share, now_ms)

    def _share(self, observed: ObservedSearcher, most: int) -> int:
        membership = self._membership
        domain = observed.searcher.failure_domain
        names = membership.may_be_sending(domain) or membership.may_be_sending()
        me = membership.me.name
        if me not in names or not membership.hears_others:
            # One that hears nobody does not know among how many it would share.
            return 0
        if len(names) <= most:
            return most // len(names)
        incarnation = observed.searcher.incarnation
        ranked = sorted(names, key=lambda name: rendezvous.score(incarnation, name), reverse=True)
        return 1 if ranked.index(me) < most else 0


def _is_cold(observed: ObservedSearcher, service: Service, now_ms: float) -> bool:
    told_by_ms = observed.returned_ms + service.warmup_ms + TOLD_LATE_MS
    return now_ms < max(observed.warm_at_ms, told_by_ms)
