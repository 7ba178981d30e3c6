"""A group of equivalent searchers."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count, Milliseconds, Name, Rate


class Service(Struct, frozen=True):
    """A group of equivalent searchers: all replicas of one shard, or of one record store.

    :param name: the service's name.
    :param health_path: path of the health endpoint of a searcher.
    :param max_connections: most connections to a searcher from all callers together.
    :param warmup_ms: duration of a searcher's warm-up.
    :param warmup_per_s: most requests per second to a searcher during warm-up; 0 for no limit.
    """

    name: Name
    health_path: str
    max_connections: Count
    warmup_ms: Milliseconds = 0.0
    warmup_per_s: Rate = 0.0
