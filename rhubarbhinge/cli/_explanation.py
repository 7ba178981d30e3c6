"""What a query of a collection comes to, worked out from the documents alone."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from rhubarbhinge.register import KEY_SPACE, Collection, Register, Rules, TrafficClass


@dataclass(frozen=True, slots=True)
class DomainShare:
    """What one failure domain means for a collection.

    :param failure_domain: Its name.
    :param upstreams: Upstreams of the collection in it.
    :param slots: Searches that these run at once.
    :param without: Fraction of the key space that the other domains cover, when it is lost.
    :param alone: Fraction of the key space that it covers by itself, when it is cut off.
    """

    failure_domain: str
    upstreams: int
    slots: int
    without: float
    alone: float


@dataclass(frozen=True, slots=True)
class Explanation:
    """The plan and policy of a query.

    :param collection: Name of the collection.
    :param system: Name of its system.
    :param shards: Number of its shards, which is the number of sub-queries.
    :param least_replicas: Replicas of the shard that has the fewest.
    :param most_replicas: Replicas of the shard that has the most.
    :param leaving: Upstreams of the collection that get no new work.
    :param traffic_class: The class and its policy.
    :param extra_subqueries: Sub-queries that hedges and retries may add to one query on average.
    :param coverage: Fraction of the key space that upstreams which aren't leaving cover.
    :param domains: What each failure domain means for it.
    """

    collection: str
    system: str
    shards: int
    least_replicas: int
    most_replicas: int
    leaving: int
    traffic_class: TrafficClass
    extra_subqueries: float
    coverage: float
    domains: tuple[DomainShare, ...]


def explain_query(
    register: Register, rules: Rules, collection: Collection, asked: str | None = None
) -> Explanation:
    """Explain a query.

    :param register: The register.
    :param rules: The rules.
    :param collection: The collection.
    :param asked: Class that the caller asks for.
    :returns: The explanation; upstreams that leave count as gone.
    """
    policy = rules.class_for(collection.name, asked)
    names = sorted({name for shard in collection.shards for name in shard.upstreams})
    staying = [name for name in names if not register.upstream(name).leaving]
    replicas = [_count(shard.upstreams, staying) for shard in collection.shards]
    return Explanation(
        collection=collection.name,
        system=collection.system,
        shards=len(collection.shards),
        least_replicas=min(replicas),
        most_replicas=max(replicas),
        leaving=len(names) - len(staying),
        traffic_class=policy,
        extra_subqueries=len(collection.shards) * policy.extra_load,
        coverage=_covered(collection, register, lambda domain: True),
        domains=tuple(
            _share(register, collection, staying, each) for each in register.failure_domains
        ),
    )


def _count(names: tuple[str, ...], staying: list[str]) -> int:
    kept = set(staying)
    return sum(name in kept for name in names)


def _share(
    register: Register, collection: Collection, staying: list[str], domain: str
) -> DomainShare:
    inside = [name for name in staying if register.upstream(name).failure_domain == domain]
    slots = register.system(collection.system).slots
    return DomainShare(
        failure_domain=domain,
        upstreams=len(inside),
        slots=slots * len(inside),
        without=_covered(collection, register, lambda other: other != domain),
        alone=_covered(collection, register, lambda other: other == domain),
    )


def _covered(collection: Collection, register: Register, reachable: Callable[[str], bool]) -> float:
    """Sum up the shards that have a replica in a reachable failure domain."""
    keys = 0
    for shard in collection.shards:
        replicas = [register.upstream(name) for name in shard.upstreams]
        if any(reachable(each.failure_domain) and not each.leaving for each in replicas):
            keys += shard.hi - shard.lo
    return keys / KEY_SPACE


def shown_share(share: float) -> str:
    """Show a fraction, rounded down, so that nothing looks more complete than it is.

    :param share: The fraction.
    :returns: A percentage.
    """
    return f"{math.floor(share * 1000) / 10:g} %"
