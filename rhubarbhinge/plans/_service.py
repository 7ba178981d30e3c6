"""A group of searchers that answer alike."""

from dataclasses import dataclass

from rhubarbhinge.utils.bounded_types import Count, Name


@dataclass(frozen=True, slots=True)
class Service:
    """A group of searchers that answer alike: all replicas of one shard, or of one record store.

    :param name: the service's name.
    :param health_path: path of the health endpoint of its searchers.
    :param max_connections: most connections that one searcher takes from all callers together.
    """

    name: Name
    health_path: str
    max_connections: Count
