"""Limit of the connections of this entry to each searcher."""

import math
from collections.abc import Callable

from rhubarbhinge.fleet import ObservedSearcher
from rhubarbhinge.members import Membership
from rhubarbhinge.published import Follower

IN_FLIGHT_FACTOR = 3.0
"""Concurrent requests that the entries of a searcher's failure domain send it, as a multiple of its
slots. This keeps the searcher busy; further requests wait here, where they can be dropped once they
are too late. It is divided by capacity in domains whose shards are, as their strong VMs then send
most of the requests."""
MIN_IN_FLIGHT = 2
"""Concurrent requests that one entry may send to a searcher regardless of the number of entries."""
LOCAL_FRACTION = 0.5
"""Fraction of a searcher's connections that the entries of its failure domain divide by capacity.
They send it nearly all of its requests; the other fraction is left to all entries evenly."""
DEFAULT_CONNECTIONS = 2
"""Connections to a searcher whose service is not in the plan."""


def connection_limit(
    follower: Follower,
    membership: Membership,
    processes: Callable[[], int],
    own_share: Callable[[], float] = lambda: 0.0,
) -> Callable[[ObservedSearcher], int]:
    """Divide the connections that searchers accept among the live entries.

    :param follower: provides the plan, which contains the connection limit of each service.
    :param membership: provides the entries of each failure domain.
    :param processes: returns the maximum number of running entries.
    :param own_share: returns the share of this entry in the capacity of its failure domain; 0 to
        divide evenly.
    :returns: function that returns the maximum number of connections to a searcher.
    """

    def limit(observed: ObservedSearcher) -> int:
        plan = follower.plan
        service = plan.services.get(observed.searcher.service) if plan else None
        if service is None:
            return DEFAULT_CONNECTIONS
        domain = observed.searcher.failure_domain
        in_flight = IN_FLIGHT_FACTOR * observed.searcher.capacity
        share = own_share()
        if share > 0 and domain == membership.me.failure_domain:
            accepted = int(LOCAL_FRACTION * service.max_connections * share)
            busy_share = math.ceil(in_flight * share)
        else:
            fraction = 1.0 - LOCAL_FRACTION if share > 0 else 1.0
            accepted = int(fraction * service.max_connections / processes())
            busy_share = math.ceil(in_flight / max(1, membership.live_count(domain)))
        return max(1, min(accepted, max(MIN_IN_FLIGHT, busy_share)))

    return limit
