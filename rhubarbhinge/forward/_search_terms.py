"""Parameters that another entry needs to search a shard on behalf of this one."""

from msgspec import Struct


class SearchTerms(Struct, frozen=True):
    """Parameters that another entry needs to search a shard on behalf of this one.

    :param top_k: maximum number of records to take from a shard.
    :param target_latency_ms: latency objective of the route.
    """

    top_k: int
    target_latency_ms: float
