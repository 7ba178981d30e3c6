"""Published state as entries hand it on."""

from dataclasses import dataclass, fields

import orjson

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.peers._known_state import NOTHING_KNOWN, KnownState
from rhubarbhinge.plans import (
    CallerLimits,
    KeptRoutes,
    PlanChange,
    Route,
    Service,
    ServingPlan,
    ShardSet,
    WeightedService,
)
from rhubarbhinge.published import Changes, Snapshot


class StateError(ValueError):
    """Bytes that are no published state.

    :ivar code: why, for logs.
    """

    code = "bad-state"


def encode_state(
    state: Snapshot | Changes,
    log_id: str,
    position: int,
    base_plan: ServingPlan | None = None,
    same_searchers: bool = False,
) -> bytes:
    """Encode published state, or changes of it.

    :param state: the state.
    :param log_id: the log of changes of who tells it.
    :param position: up to where in the log it is told.
    :param base_plan: a configuration that the receiver has, and of which only changes are told.
    :param same_searchers: whether the receiver has just these searchers, which are then not told.
    :returns: the bytes.
    """
    plan = state.plan
    by_change = plan is not None and base_plan is not None
    change = PlanChange.between(base_plan, plan) if by_change else None
    return orjson.dumps(
        {
            "revision": state.revision,
            "age_ms": state.age_ms,
            "log": log_id,
            "position": position,
            "plan": None if plan is None or by_change else _plan_fields(plan),
            "plan_change": change,
            "searchers": () if same_searchers else state.searchers,
            "same_searchers": same_searchers,
            "removed": state.removed if isinstance(state, Changes) else None,
            "lapsed_ms": state.lapsed_ms,
        }
    )


@dataclass(frozen=True, slots=True)
class ToldState:
    """What a peer told.

    :param state: its state, or what changed since a position of its log.
    :param log_id: its log.
    :param position: up to where in the log this tells.
    """

    state: Snapshot | Changes
    log_id: str
    position: int


def decode_state(data: bytes, known: KnownState = NOTHING_KNOWN) -> ToldState:
    """Decode published state.

    :param data: the bytes.
    :param known: what the receiver has told that it has, to which the bytes may refer.
    :returns: what the peer told.
    :raises StateError: when they are none, or refer to something else.
    """
    try:
        fields = orjson.loads(data)
        plan = None if fields["plan"] is None else _plan(fields["plan"])
        if fields.get("plan_change") is not None:
            plan = _plan_change(fields["plan_change"]).apply(known.plan)
        searchers = tuple(Searcher(**_known(Searcher, one)) for one in fields["searchers"])
        if fields.get("same_searchers"):
            searchers = known.searchers
        revision, age_ms = int(fields["revision"]), float(fields["age_ms"])
        lapsed_ms = {str(k): float(v) for k, v in fields.get("lapsed_ms", {}).items()}
        state: Snapshot | Changes = Snapshot(revision, plan, searchers, age_ms, lapsed_ms)
        if fields["removed"] is not None:
            removed = tuple(str(name) for name in fields["removed"])
            state = Changes(revision, plan, searchers, removed, age_ms, True, lapsed_ms)
        return ToldState(state, str(fields["log"]), int(fields["position"]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise StateError(f"a peer's bytes are no published state: {error}") from error


def _plan_fields(plan: ServingPlan) -> dict:
    return {
        "version": plan.version,
        "routes": plan.routes,
        "services": list(plan.services.values()),
        "limits": plan.limits,
    }


def _plan(entry: dict) -> ServingPlan:
    services = (Service(**_known(Service, one)) for one in entry["services"])
    return ServingPlan(
        version=int(entry["version"]),
        routes=tuple(_route(one) for one in entry["routes"]),
        services={service.name: service for service in services},
        limits=CallerLimits(**_known(CallerLimits, entry["limits"])),
    )


def _plan_change(entry: dict) -> PlanChange:
    routes = (
        KeptRoutes(one["start"], one["count"]) if "start" in one else _route(one)
        for one in entry["routes"]
    )
    return PlanChange(
        base_version=int(entry["base_version"]),
        version=int(entry["version"]),
        routes=tuple(routes),
        services=tuple(Service(**_known(Service, one)) for one in entry["services"]),
        gone=tuple(str(name) for name in entry["gone"]),
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
    names = {field.name for field in fields(kind) if field.init}
    return {name: value for name, value in entry.items() if name in names}
