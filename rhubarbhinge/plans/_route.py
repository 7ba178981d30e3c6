"""Where requests of one kind go."""

from msgspec import Struct

from rhubarbhinge.plans._shard_set import ShardSet
from rhubarbhinge.plans._weighted_service import WeightedService
from rhubarbhinge.utils.bounded_types import Count, Milliseconds, Name, Priority


class Route(Struct, frozen=True):
    """Where requests of one kind go, and what is promised for them.

    :param name: the route's name.
    :param host: host name that callers ask for, in lower case.
    :param path_prefix: start of the path; begins and ends with a slash.
    :param idempotent: whether a request may be executed more than once.
    :param timeout_ms: longest that a caller is kept waiting.
    :param target_latency_ms: time within which an answer has its full value.
    :param priority: rank among routes; 0 is the most urgent.
    :param max_attempts: most searchers that may execute one request, for each shard.
    :param services: where a request goes, one of these by weight; empty for a search.
    :param shards: the shards of a search, to all of which it is sent; None otherwise.
    :raises ValueError: when it has neither services nor shards.
    """

    name: Name
    host: Name
    path_prefix: str
    idempotent: bool
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds
    priority: Priority
    max_attempts: Count
    services: tuple[WeightedService, ...] = ()
    shards: ShardSet | None = None

    def __post_init__(self) -> None:
        if not self.services and self.shards is None:
            raise ValueError(f"the route {self.name} names neither services nor shards")
