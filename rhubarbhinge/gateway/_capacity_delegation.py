"""Division of the shards of searches by the capacity of the entries of uneven failure domains."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from rhubarbhinge.delegation import (
    ASSUMED_SHARD_BYTES,
    DelegateClient,
    SplitCandidate,
    split_by_capacity,
)
from rhubarbhinge.members import UNKNOWN_CAPACITY, VmCapacity

OWN_ADDRESS = ""
"""Stands for this entry among the addresses of entries."""
REPLY_HEAD_BYTES = 250.0
"""Assumed size of the headers of a searcher's reply, and of packet headers."""
SIZE_WEIGHT = 0.125
"""Weight of the latest size in the moving average, as for round-trip times in RFC 6298."""
MAX_ROUTES = 64
"""Maximum number of routes whose sizes are kept; all are discarded when there are more."""


class ShardCounts(Struct):
    """Shards since the start, by who searched them first.

    :param delegated: shards delegated to other entries.
    :param kept: shards searched by this entry.
    """

    delegated: int = 0
    kept: int = 0


class CapacityDelegation:
    """Divides the shards of searches among the entries of uneven failure domains.

    :param client: provides the other entries, their capacity and load.
    :param failure_domain: failure domain of this entry.
    :param capacity: resources of this VM.
    :param sub_queries: returns the number of sub-queries of this entry in progress.
    """

    def __init__(
        self,
        client: DelegateClient,
        failure_domain: str,
        capacity: VmCapacity,
        sub_queries: Callable[[], int],
    ):
        self._client = client
        self._failure_domain = failure_domain
        self._capacity = capacity
        self._sub_queries = sub_queries
        self._bytes_by_route: dict[str, float] = {}

    def applies_to(self, failure_domain: str) -> bool:
        """Tell whether shards are divided by capacity among the entries of a failure domain.

        :param failure_domain: the failure domain.
        :returns: whether its entries are known to differ in capacity.
        """
        return self._client.capacities.is_uneven(failure_domain)

    def divide(
        self, failure_domain: str, services: Sequence[str], route_name: str
    ) -> dict[str, list[str]]:
        """Divide shards among the connected entries of a failure domain.

        :param failure_domain: the failure domain; this entry takes part in its own.
        :param services: the shards.
        :param route_name: the route.
        :returns: shards by address, with ``OWN_ADDRESS`` for this entry; none without an entry.
        """
        if not services:
            return {}
        candidates = self._client.candidates(failure_domain)
        if failure_domain == self._failure_domain:
            own = SplitCandidate(OWN_ADDRESS, self._capacity, self._sub_queries(), is_own=True)
            candidates = [own, *candidates]
        if not candidates:
            return {}
        return split_by_capacity(services, candidates, self.shard_bytes(route_name))

    def shard_bytes(self, route_name: str) -> float:
        """Return the typical size of a searcher's reply.

        :param route_name: the route.
        :returns: the size with headers.
        """
        return self._bytes_by_route.get(route_name, ASSUMED_SHARD_BYTES)

    def on_part(self, route_name: str, body_bytes: int) -> None:
        """Record the size of the merged records of a part.

        A part has as many records as a reply of a searcher of the route, if there are enough.

        :param route_name: the route.
        :param body_bytes: size of the part's body.
        """
        if route_name not in self._bytes_by_route and len(self._bytes_by_route) >= MAX_ROUTES:
            self._bytes_by_route.clear()
        size = REPLY_HEAD_BYTES + body_bytes
        known = self._bytes_by_route.get(route_name, size)
        self._bytes_by_route[route_name] = known + SIZE_WEIGHT * (size - known)

    def capacity_label(self, address: str) -> str:
        """Describe the capacity of another entry for the log.

        :param address: its IP address.
        :returns: cores and link rate in Mbit/s, such as ``2.15/100``; empty if it is unknown.
        """
        return _label(self._client.capacity_of(address))


def _label(capacity: VmCapacity) -> str:
    if capacity == UNKNOWN_CAPACITY:
        return ""
    return f"{capacity.cores:g}/{capacity.link_bits_per_ms / 1e3:g}"
