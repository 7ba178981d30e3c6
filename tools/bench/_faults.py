"""Faults brought about at the stand-ins."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from tools.bench._tenant import Tenant

Fault = Callable[[Tenant, random.Random], None]
"""Brings about a fault."""

STRAGGLER_SHARE = 1 / 20
STRAGGLE_FACTOR = 10.0
"""One straggler in 20 at ten times the median: the case of issue 5."""

SHEDDING_SHARE = 1 / 5
SHED_PROBABILITY = 0.5
COLD_SHARE = 1 / 10
COLD_FACTOR = 10.0
COLD_MS = 1_500.0
HEALTH_LAG_MS = 5_000.0

_HEALTHY: Mapping[str, Any] = {
    "straggle_factor": 1.0,
    "shed_probability": 0.0,
    "warm_ms": 0.0,
    "cold_factor": 1.0,
    "health_lag_ms": 0.0,
    "health_state": None,
    "health_busy": None,
    "lost": False,
}


def heal(tenant: Tenant) -> None:
    """Undo every fault.

    :param tenant: the tenant.
    """
    tenant.change(tenant.searchers, _HEALTHY)
    tenant.change_platform({"unreachable": False})


def no_fault(tenant: Tenant, rng: random.Random) -> None:
    """Change nothing.

    :param tenant: the tenant.
    :param rng: the random source.
    """


def stragglers(tenant: Tenant, rng: random.Random) -> None:
    """Slow down one searcher in 20 of each system.

    :param tenant: the tenant.
    :param rng: chooses which.
    """
    tenant.change(_some(tenant, STRAGGLER_SHARE, rng), {"straggle_factor": STRAGGLE_FACTOR})


def lost_replicas(tenant: Tenant, rng: random.Random) -> None:
    """Take away one replica of each shard that is searched.

    :param tenant: the tenant.
    :param rng: chooses which.
    """
    tenant.change(one_of_each(_shards(tenant), rng), {"lost": True})


def cold_starts(tenant: Tenant, rng: random.Random) -> None:
    """Start a tenth of the searchers of each system anew, cold.

    :param tenant: the tenant.
    :param rng: chooses which.
    """
    cold = {"warm_ms": COLD_MS, "cold_factor": COLD_FACTOR, "restart": True}
    tenant.change(_some(tenant, COLD_SHARE, rng), cold)


def shedding(tenant: Tenant, rng: random.Random) -> None:
    """Let a fifth of the searchers of each system shed half of what they are asked.

    :param tenant: the tenant.
    :param rng: chooses which.
    """
    tenant.change(_some(tenant, SHEDDING_SHARE, rng), {"shed_probability": SHED_PROBABILITY})


def misleading_health(tenant: Tenant, rng: random.Random) -> None:
    """Let stragglers claim to be idle and all others to be full, seconds late.

    :param tenant: the tenant.
    :param rng: chooses the stragglers.
    """
    slow = _some(tenant, STRAGGLER_SHARE, rng)
    others = set(tenant.searchers) - slow
    tenant.change(others, {"health_busy": 100, "health_lag_ms": HEALTH_LAG_MS})
    claims = {"health_busy": 0, "health_lag_ms": HEALTH_LAG_MS, "health_state": "ready"}
    tenant.change(slow, {**claims, "straggle_factor": STRAGGLE_FACTOR})


def platform_outage(tenant: Tenant, rng: random.Random) -> None:
    """Cut the platform off from everyone.

    :param tenant: the tenant.
    :param rng: the random source.
    """
    tenant.change_platform({"unreachable": True})


def one_of_each(shards: Iterable[Sequence[str]], rng: random.Random) -> set[str]:
    """Choose holders so that every shard loses at least one and keeps at least one.

    A shard loses exactly one wherever the placement allows it.

    :param shards: holders of each shard.
    :param rng: the random source.
    :returns: the holders to lose.
    """
    shards = [tuple(holders) for holders in shards]
    rng.shuffle(shards)
    lost: set[str] = set()
    for holders in shards:
        if lost.isdisjoint(holders):
            choices = [name for name in holders if _spares(lost | {name}, shards)]
            if choices:
                lost.add(min(choices, key=lambda name: (_excess(lost | {name}, shards), name)))
    return lost


def some_of_each(
    systems: Iterable[Sequence[str]],
    shards: Sequence[Sequence[str]],
    share: float,
    rng: random.Random,
) -> set[str]:
    """Choose a share of each system's searchers, so that every shard keeps one of its holders.

    Where both holders of a shard were slow, no choice of replica and no hedge could help.

    :param systems: searchers of each system.
    :param shards: holders of each shard.
    :param share: the share; at least one searcher of each system is chosen.
    :param rng: the random source.
    :returns: the chosen searchers.
    """
    chosen: set[str] = set()
    for members in systems:
        wanted = max(1, round(len(members) * share))
        for name in rng.sample(members, len(members)):
            if wanted and _spares(chosen | {name}, shards):
                chosen.add(name)
                wanted -= 1
    return chosen


def _shards(tenant: Tenant) -> list[Sequence[str]]:
    return [
        holders
        for collection in tenant.traffic.collections
        for holders in tenant.deployment.holders(collection).values()
    ]


def _spares(lost: set[str], shards: Sequence[Sequence[str]]) -> bool:
    return all(not lost.issuperset(holders) for holders in shards)


def _excess(lost: set[str], shards: Sequence[Sequence[str]]) -> int:
    """Count shards that lose more than one."""
    return sum(len(lost.intersection(holders)) > 1 for holders in shards)


def _some(tenant: Tenant, share: float, rng: random.Random) -> set[str]:
    return some_of_each(_searched(tenant).values(), _shards(tenant), share, rng)


def _searched(tenant: Tenant) -> dict[str, list[str]]:
    register = tenant.deployment.register
    systems = {
        collection["system"]
        for collection in register["collections"]
        if collection["name"] in tenant.traffic.collections
    }
    members: dict[str, list[str]] = {}
    for upstream in register["upstreams"]:
        if upstream["system"] in systems:
            members.setdefault(upstream["system"], []).append(upstream["name"])
    return members
