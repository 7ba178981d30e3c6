"""A group of searchers that answer alike."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count, Milliseconds, Name, Rate


class Service(Struct, frozen=True):
    """A group of searchers that answer alike: all replicas of one shard, or of one record store.

    :param name: the service's name.
    :param health_path: path of the health endpoint of its searchers.
    :param max_connections: most connections that one searcher takes from all callers together.
    :param warmup_ms: how long one of its searchers is cold.
    :param warmup_per_s: requests a second that it bears meanwhile; 0 for as many as at other times.
    """

    name: Name
    health_path: str
    max_connections: Count
    warmup_ms: Milliseconds = 0.0
    warmup_per_s: Rate = 0.0
