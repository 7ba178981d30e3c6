"""A group of searchers that answer alike."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count, Name


class Service(Struct, frozen=True):
    """A group of searchers that answer alike: all replicas of one shard, or of one record store.

    :param name: the service's name.
    :param health_path: path of the health endpoint of its searchers.
    :param max_connections: most connections that one searcher takes from all callers together.
    """

    name: Name
    health_path: str
    max_connections: Count
