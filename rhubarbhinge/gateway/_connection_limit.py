"""How many connections this entry may hold to a searcher."""

import math
from collections.abc import Callable

from rhubarbhinge.fleet import ObservedSearcher
from rhubarbhinge.members import Membership
from rhubarbhinge.published import Follower

IN_FLIGHT_FACTOR = 3.0
"""Requests that the entries of a searcher's domain send it at a time, in its slots: enough to keep
it busy; what is more waits here, where it can be dropped when it is too late."""
MIN_IN_FLIGHT = 2
"""Requests that one entry may send to a searcher at a time, however many entries there are."""
DEFAULT_CONNECTIONS = 2
"""Connections to a searcher whose service the plan does not name."""


def connection_limit(
    follower: Follower, membership: Membership, processes: Callable[[], int]
) -> Callable[[ObservedSearcher], int]:
    """Share the connections of searchers among the live entries.

    :param follower: knows the plan, which tells how many connections a searcher takes.
    :param membership: knows the entries of each failure domain.
    :param processes: gives how many entries there may be in all.
    :returns: gives the most connections to a searcher.
    """

    def limit(observed: ObservedSearcher) -> int:
        plan = follower.plan
        service = plan.services.get(observed.searcher.service) if plan else None
        if service is None:
            return DEFAULT_CONNECTIONS
        even_share = service.max_connections // processes()
        domain_entries = max(1, membership.live_count(observed.searcher.failure_domain))
        busy_share = math.ceil(IN_FLIGHT_FACTOR * observed.searcher.capacity / domain_entries)
        return max(1, min(even_share, max(MIN_IN_FLIGHT, busy_share)))

    return limit
