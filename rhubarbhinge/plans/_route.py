"""Routing rule for one kind of request."""

from msgspec import Struct

from rhubarbhinge.plans._shard_set import ShardSet
from rhubarbhinge.plans._weighted_service import WeightedService
from rhubarbhinge.utils.bounded_types import Count, Milliseconds, Name, NonEmptyStr, Priority


class Route(Struct, frozen=True):
    """Routing rule for one kind of request, with its latency objective.

    :param name: identifier of the route.
    :param host: host name of the requests, in lower case.
    :param path_prefix: prefix of the path; begins and ends with a slash.
    :param idempotent: whether a request may be executed more than once.
    :param timeout_ms: request timeout.
    :param target_latency_ms: latency objective, within which a response has its full value.
    :param priority: priority among routes; 0 is the highest.
    :param max_attempts: most searchers that may execute a request, for each shard.
    :param services: services of which one is chosen by weight; empty for a search.
    :param shards: the shards that a search is sent to; None for other requests.
    :raises ValueError: when there are neither services nor shards.
    """

    name: Name
    host: NonEmptyStr
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
            raise ValueError(f"route {self.name} has neither services nor shards")
