"""What is granted to one search."""

from msgspec import Struct

from rhubarbhinge.forward import CallTerms
from rhubarbhinge.plans import ShardSet


class GatherTerms(Struct, frozen=True):
    """What is granted to one search.

    :param route_name: name of its route.
    :param shards: the shards of the plan that it was read under.
    :param target_latency_ms: the route's latency objective.
    :param answer_by_ms: when it is answered with what there is, if that is enough.
    :param call: what is granted to the call to each shard.
    """

    route_name: str
    shards: ShardSet
    target_latency_ms: float
    answer_by_ms: float
    call: CallTerms
