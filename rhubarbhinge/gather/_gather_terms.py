"""Limits and deadlines of one search."""

from msgspec import Struct

from rhubarbhinge.forward import CallTerms
from rhubarbhinge.plans import ShardSet


class GatherTerms(Struct, frozen=True):
    """Limits and deadlines of one search.

    :param route_name: name of the route.
    :param shards: the shards according to the plan under which the request was accepted.
    :param target_latency_ms: the route's latency objective.
    :param answer_by_ms: time at which a partial answer is sent if enough shards have replied.
    :param call: limits and deadlines of the call to each shard.
    """

    route_name: str
    shards: ShardSet
    target_latency_ms: float
    answer_by_ms: float
    call: CallTerms
