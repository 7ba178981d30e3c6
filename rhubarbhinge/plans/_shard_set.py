"""The shards that a search is sent to."""

from typing import Annotated

from msgspec import Meta, Struct

from rhubarbhinge.utils.bounded_types import Count, Fraction, Name


class ShardSet(Struct, frozen=True):
    """The shards that a search is sent to, each a service, and how their replies are merged.

    :param services: names of the shards.
    :param top_k: number of greatest records in the response.
    :param least_share: smallest share of shards, 0 to 1, for a successful response.
    :raises ValueError: when a shard is listed twice.
    """

    services: Annotated[tuple[Name, ...], Meta(min_length=1)]
    top_k: Count
    least_share: Fraction

    def __post_init__(self) -> None:
        if len(set(self.services)) != len(self.services):
            raise ValueError("search lists a shard twice")

    def is_enough(self, parts: int) -> bool:
        """Tell whether replies from this many shards suffice for a response.

        :param parts: number of shards that have replied.
        :returns: whether their share reaches ``least_share``.
        """
        return parts > 0 and parts >= self.least_share * len(self.services)
