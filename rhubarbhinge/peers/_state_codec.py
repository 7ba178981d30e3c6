"""Published state as entries hand it on."""

from dataclasses import asdict, fields

import orjson

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import (
    CallerLimits,
    Route,
    Service,
    ServingPlan,
    ShardSet,
    WeightedService,
)
from rhubarbhinge.published import Snapshot


class StateError(ValueError):
    """Bytes that are no published state.

    :ivar code: why, for logs.
    """

    code = "bad-state"


def encode_state(snapshot: Snapshot, age_ms: float) -> bytes:
    """Encode published state.

    :param snapshot: the state.
    :param age_ms: time since it was confirmed.
    :returns: the bytes.
    """
    plan = snapshot.plan
    return orjson.dumps(
        {
            "revision": snapshot.revision,
            "age_ms": age_ms,
            "plan": None if plan is None else _plan_fields(plan),
            "searchers": [asdict(searcher) for searcher in snapshot.searchers],
        }
    )


def decode_state(data: bytes) -> tuple[Snapshot, float]:
    """Decode published state.

    :param data: the bytes.
    :returns: the state, and the time since it was confirmed when it was encoded.
    :raises StateError: when they are none.
    """
    try:
        state = orjson.loads(data)
        plan = None if state["plan"] is None else _plan(state["plan"])
        searchers = tuple(Searcher(**entry) for entry in state["searchers"])
        return Snapshot(int(state["revision"]), plan, searchers), float(state["age_ms"])
    except (KeyError, TypeError, ValueError) as error:
        raise StateError(f"a peer's bytes are no published state: {error}") from error


def _plan_fields(plan: ServingPlan) -> dict:
    return {
        "version": plan.version,
        "routes": [asdict(route) for route in plan.routes],
        "services": [asdict(service) for service in plan.services.values()],
        "limits": asdict(plan.limits),
    }


def _plan(entry: dict) -> ServingPlan:
    services = (Service(**_known(Service, one)) for one in entry["services"])
    return ServingPlan(
        version=int(entry["version"]),
        routes=tuple(_route(one) for one in entry["routes"]),
        services={service.name: service for service in services},
        limits=CallerLimits(**_known(CallerLimits, entry["limits"])),
    )


def _route(entry: dict) -> Route:
    shards = entry["shards"]
    shard_set = None
    if shards is not None:
        shard_set = ShardSet(tuple(shards["services"]), shards["top_k"], shards["least_share"])
    parts = tuple(WeightedService(**part) for part in entry["services"])
    return Route(**{**_known(Route, entry), "shards": shard_set, "services": parts})


def _known(kind: type, entry: dict) -> dict:
    """Leave out what a newer release added."""
    names = {field.name for field in fields(kind)}
    return {name: value for name, value in entry.items() if name in names}
