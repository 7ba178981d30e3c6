"""Published state as entries hand it on."""

from typing import Any

import msgspec
from msgspec import Struct

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.peers._known_state import NOTHING_KNOWN, KnownState
from rhubarbhinge.plans import (
    CallerLimits,
    PlanChange,
    Route,
    Service,
    ServingPlan,
    UnchangedRoutes,
)
from rhubarbhinge.published import Changes, Evacuation, Snapshot
from rhubarbhinge.utils.bounded_types import AgeMs, Count, Milliseconds, Name
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.utils.strict_json import convert, json_reader


class StateError(ValueError):
    """Bytes that are no published state.

    :ivar code: why, for logs.
    """

    code = "bad-state"


class _SentPlan(msgspec.Struct, frozen=True):
    """A configuration as it is sent."""

    version: Count
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits


class _SentPlanChange(msgspec.Struct, frozen=True):
    """What changed of a configuration, as it is sent; see :class:`PlanChange`."""

    base_version: Count
    version: Count
    routes: tuple[dict[str, Any], ...]
    services: tuple[Service, ...]
    gone: tuple[str, ...]
    limits: CallerLimits


class _SentState(msgspec.Struct, frozen=True):
    """Published state, or changes of it, as they are sent.

    Changes are those with ``removed``. Releases may differ by the fields that have a default.

    :ivar revision: the number of its revision.
    :ivar era: the era of its revision; an earlier release tells none.
    """

    revision: Count
    age_ms: AgeMs
    log: str
    position: Count
    plan: _SentPlan | None
    searchers: tuple[Searcher, ...]
    removed: tuple[str, ...] | None
    plan_change: _SentPlanChange | None = None
    same_searchers: bool = False
    lapsed_ms: dict[str, Milliseconds] = {}
    evacuated: tuple[Name, ...] | None = None
    evacuations: tuple[Evacuation, ...] = ()
    era: Count = 0


_read = json_reader(_SentState)


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
    return msgspec.json.encode(
        {
            "revision": state.revision.number,
            "era": state.revision.era,
            "age_ms": state.age_ms,
            "log": log_id,
            "position": position,
            "plan": None if plan is None or by_change else _sent_plan(plan),
            "plan_change": change,
            "searchers": () if same_searchers else state.searchers,
            "same_searchers": same_searchers,
            "removed": state.removed if isinstance(state, Changes) else None,
            "lapsed_ms": dict(state.lapsed_ms),
            "evacuated": state.evacuated if isinstance(state, Snapshot) else None,
            "evacuations": state.evacuations if isinstance(state, Changes) else (),
        }
    )


class ToldState(Struct, frozen=True):
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
        sent = _read(data)
        plan = _plan(sent, known.plan)
    except ValueError as error:
        raise StateError(f"a peer's bytes are no published state: {error}") from error
    searchers = known.searchers if sent.same_searchers else sent.searchers
    revision = Revision(sent.era, sent.revision)
    state: Snapshot | Changes
    if sent.removed is None:
        state = Snapshot(
            revision,
            plan,
            searchers,
            sent.age_ms,
            sent.lapsed_ms,
            evacuated=sent.evacuated,
        )
    else:
        state = Changes(
            revision,
            plan,
            searchers,
            sent.removed,
            sent.age_ms,
            True,
            sent.lapsed_ms,
            evacuations=sent.evacuations,
        )
    return ToldState(state, sent.log, sent.position)


def _sent_plan(plan: ServingPlan) -> _SentPlan:
    return _SentPlan(plan.version, plan.routes, tuple(plan.services.values()), plan.limits)


def _plan(sent: _SentState, base: ServingPlan | None) -> ServingPlan | None:
    if sent.plan_change is not None:
        if base is None:
            raise ValueError("a change of a configuration that is not known here")
        return _plan_change(sent.plan_change).apply(base)
    if sent.plan is None:
        return None
    services = {service.name: service for service in sent.plan.services}
    return ServingPlan(sent.plan.version, sent.plan.routes, services, sent.plan.limits)


def _plan_change(sent: _SentPlanChange) -> PlanChange:
    routes = (convert(one, UnchangedRoutes if "start" in one else Route) for one in sent.routes)
    return PlanChange(
        base_version=sent.base_version,
        version=sent.version,
        routes=tuple(routes),
        services=sent.services,
        gone=sent.gone,
        limits=sent.limits,
    )
