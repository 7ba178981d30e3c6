"""What another entry has to know to search a shard in this one's place."""

from msgspec import Struct


class SearchTerms(Struct, frozen=True):
    """What another entry has to know to search a shard in this one's place.

    :param top_k: most records that the answer takes of a shard.
    :param target_latency_ms: the route's latency objective.
    """

    top_k: int
    target_latency_ms: float
