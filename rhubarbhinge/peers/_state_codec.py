"""Encoding of the published state for transfer between entries."""

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
from rhubarbhinge.utils.bounded_types import AgeMs, Count, Milliseconds, Name, PlanVersion
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.utils.strict_json import convert, json_decoder


class StateError(ValueError):
    """The data received from a peer is not a valid published state.

    :ivar code: error code for logs.
    """

    code = "bad-state"


class _EncodedPlan(msgspec.Struct, frozen=True):
    """Encoded form of a serving plan."""

    version: PlanVersion
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits


class _EncodedPlanChange(msgspec.Struct, frozen=True):
    """Encoded form of the changes between two serving plans; see :class:`PlanChange`."""

    base_version: PlanVersion
    version: PlanVersion
    routes: tuple[dict[str, Any], ...]
    services: tuple[Service, ...]
    gone: tuple[str, ...]
    limits: CallerLimits


class _EncodedState(msgspec.Struct, frozen=True):
    """Encoded form of the published state, or of changes to it.

    Only changes have ``removed``. Fields that have a default may be missing in other releases.

    :ivar revision: the number of its revision.
    :ivar era: the era of its revision; an earlier release does not send it.
    """

    revision: Count
    age_ms: AgeMs
    log: str
    position: Count
    plan: _EncodedPlan | None
    searchers: tuple[Searcher, ...]
    removed: tuple[str, ...] | None
    plan_change: _EncodedPlanChange | None = None
    same_searchers: bool = False
    lapsed_ms: dict[str, Milliseconds] = {}
    evacuated: tuple[Name, ...] | None = None
    evacuations: tuple[Evacuation, ...] = ()
    era: Count = 0


_parse = json_decoder(_EncodedState)


def encode_state(
    state: Snapshot | Changes,
    log_id: str,
    position: int,
    base_plan: ServingPlan | None = None,
    same_searchers: bool = False,
) -> bytes:
    """Encode the published state, or changes to it.

    :param state: the state.
    :param log_id: id of the sender's change log.
    :param position: position in that log up to which the state includes the changes.
    :param base_plan: a serving plan that the receiver has, relative to which the plan is encoded.
    :param same_searchers: whether the receiver has exactly these searchers, which are then omitted.
    :returns: the encoded state.
    """
    plan = state.plan
    is_relative = plan is not None and base_plan is not None
    change = PlanChange.between(base_plan, plan) if is_relative else None
    return msgspec.json.encode(
        {
            "revision": state.revision.number,
            "era": state.revision.era,
            "age_ms": state.age_ms,
            "log": log_id,
            "position": position,
            "plan": None if plan is None or is_relative else _encode_plan(plan),
            "plan_change": change,
            "searchers": () if same_searchers else state.searchers,
            "same_searchers": same_searchers,
            "removed": state.removed if isinstance(state, Changes) else None,
            "lapsed_ms": dict(state.lapsed_ms),
            "evacuated": state.evacuated if isinstance(state, Snapshot) else None,
            "evacuations": state.evacuations if isinstance(state, Changes) else (),
        }
    )


class DecodedState(Struct, frozen=True):
    """The published state as received from a peer.

    :param state: the peer's state, or the changes since a position of its change log.
    :param log_id: id of that log.
    :param position: position in the log up to which the state includes the changes.
    """

    state: Snapshot | Changes
    log_id: str
    position: int


def decode_state(data: bytes, known: KnownState = NOTHING_KNOWN) -> DecodedState:
    """Decode the published state, or changes to it.

    :param data: the encoded state.
    :param known: the state that the receiver has described to the sender, to which the data may
        refer.
    :returns: the state.
    :raises StateError: when the data is invalid, or refers to something else.
    """
    try:
        encoded = _parse(data)
        plan = _decode_plan(encoded, known.plan)
    except ValueError as error:
        raise StateError(f"invalid published state received from a peer: {error}") from error
    searchers = known.searchers if encoded.same_searchers else encoded.searchers
    revision = Revision(encoded.era, encoded.revision)
    state: Snapshot | Changes
    if encoded.removed is None:
        state = Snapshot(
            revision,
            plan,
            searchers,
            encoded.age_ms,
            encoded.lapsed_ms,
            evacuated=encoded.evacuated,
        )
    else:
        state = Changes(
            revision,
            plan,
            searchers,
            encoded.removed,
            encoded.age_ms,
            True,
            encoded.lapsed_ms,
            evacuations=encoded.evacuations,
        )
    return DecodedState(state, encoded.log, encoded.position)


def _encode_plan(plan: ServingPlan) -> _EncodedPlan:
    return _EncodedPlan(plan.version, plan.routes, tuple(plan.services.values()), plan.limits)


def _decode_plan(encoded: _EncodedState, base: ServingPlan | None) -> ServingPlan | None:
    if encoded.plan_change is not None:
        if base is None:
            raise ValueError(
                "the serving plan is encoded relative to one that this entry does not have"
            )
        return _decode_plan_change(encoded.plan_change).apply(base)
    if encoded.plan is None:
        return None
    services = {service.name: service for service in encoded.plan.services}
    return ServingPlan(encoded.plan.version, encoded.plan.routes, services, encoded.plan.limits)


def _decode_plan_change(encoded: _EncodedPlanChange) -> PlanChange:
    routes = (convert(one, UnchangedRoutes if "start" in one else Route) for one in encoded.routes)
    return PlanChange(
        base_version=encoded.base_version,
        version=encoded.version,
        routes=tuple(routes),
        services=encoded.services,
        gone=encoded.gone,
        limits=encoded.limits,
    )
