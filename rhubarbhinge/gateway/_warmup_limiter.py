"""Rate limit of requests to searchers that are still warming up (cold searchers)."""

from collections.abc import Callable

from rhubarbhinge.fleet import ColdRule, ObservedSearcher
from rhubarbhinge.members import Membership
from rhubarbhinge.plans import Service
from rhubarbhinge.published import Follower
from rhubarbhinge.utils import rendezvous

REPORT_DELAY_MS = 2_500.0
"""Maximum delay until this entry learns what a searcher publishes: two heartbeats of the searcher
plus the watch delay of an entry that follows another entry."""
JOIN_SETTLE_MS = 6_000.0
"""A process sends nothing to rate-limited cold searchers for this long after its start or a pause.
By then it and the other entries know of each other, even if the first member lists were exchanged
too early: this allows for several heartbeats and a second exchange of member lists."""


class WarmupLimiter:
    """Divides the permitted request rate of a cold searcher among the entries that may send to it.

    A searcher whose process receives far more than the warm-up rate of its service while it is cold
    ends. The entries do not count their requests together, so each computes its own limit from the
    entries that may be sending, including those it cannot hear. The limit is the permitted rate
    divided by the number of entries, rounded down to whole requests per second. If there are more
    entries than requests, the entries that rank first in a rendezvous order, which differs between
    searchers, get one request each. If the failure domain of the searcher has entries, only these
    send to it; the others reach the shard through other searchers.

    Entries learn with a delay that a searcher is cold. A searcher that has just become reachable
    again, or whose failure domain is no longer evacuated, is therefore treated as cold until its
    own report would have arrived.

    :param follower: provides the plan, which contains the warm-up rates.
    :param membership: provides the other entries.
    :param rule: returns the rule for the maximum rate.
    :param now_ms: returns the current time.
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
        self._settled_at_ms = 0.0
        self.on_pause()

    def on_pause(self) -> None:
        """Stop sending to cold searchers for a while, as entries may have joined meanwhile."""
        self._settled_at_ms = self._now_ms() + JOIN_SETTLE_MS

    def may_send(self, observed: ObservedSearcher, now_ms: float) -> bool:
        """Check whether a request may be sent to a searcher now.

        :param observed: the searcher.
        :param now_ms: the current time.
        :returns: whether the searcher is warm, its service has no warm-up rate, or this entry's
            limit is not reached.
        """
        if now_ms >= observed.warm_at_ms and not observed.has_returned:
            return True
        plan = self._follower.plan
        service = plan.services.get(observed.searcher.service) if plan else None
        if service is None or not service.warmup_per_s or not _is_cold(observed, service, now_ms):
            return True
        if now_ms < self._settled_at_ms:
            return False
        own_limit = self._own_limit(observed, self._rule().max_requests(service.warmup_per_s))
        return observed.cold_sends(now_ms).has_room(own_limit, now_ms)

    def _own_limit(self, observed: ObservedSearcher, limit: int) -> int:
        membership = self._membership
        domain = observed.searcher.failure_domain
        names = membership.potential_senders(domain) or membership.potential_senders()
        me = membership.me.name
        if me not in names or not membership.has_peers:
            # An isolated entry does not know how many entries share the rate.
            return 0
        if len(names) <= limit:
            return limit // len(names)
        incarnation = observed.searcher.incarnation
        ranked = sorted(names, key=lambda name: rendezvous.score(incarnation, name), reverse=True)
        return 1 if ranked.index(me) < limit else 0


def _is_cold(observed: ObservedSearcher, service: Service, now_ms: float) -> bool:
    reported_by_ms = observed.returned_ms + service.warmup_ms + REPORT_DELAY_MS
    return now_ms < max(observed.warm_at_ms, reported_by_ms)
