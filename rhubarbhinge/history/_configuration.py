"""Checks that configuration is adopted within a time bound and that revisions never decrease."""

from collections.abc import Iterable

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation

_Incarnation = tuple[str, int]
_NEVER_ENDED_MS = float("inf")


def monotonic_config(events: Iterable[Event], bound_ms: float) -> list[Violation]:
    """Check the revisions adopted by every node incarnation.

    :param events: the history, sorted by time; ``end`` also represents a kill or a freeze.
    :param bound_ms: maximum delay from publication to adoption; an incarnation that becomes ready
        after that must have adopted the revision by the time it is ready.
    :returns: violations for revisions that decreased and for revisions adopted late or never.
    """
    events = list(events)
    return _decreased_revisions(events) + _late_adoptions(events, bound_ms)


def _decreased_revisions(events: list[Event]) -> list[Violation]:
    highest_revisions: dict[tuple[_Incarnation, str], int] = {}
    violations = []
    for event in select_events(events, "adopt"):
        incarnation, revision = _incarnation(event), event["revision"]
        highest_before = highest_revisions.get((incarnation, event["key"]), 0)
        if revision < highest_before:
            violations.append(
                Violation("revision-fell", str(incarnation), f"{highest_before} to {revision}")
            )
        highest_revisions[incarnation, event["key"]] = max(highest_before, revision)
    return violations


def _late_adoptions(events: list[Event], bound_ms: float) -> list[Violation]:
    ended_ms = {_incarnation(event): event["at_ms"] for event in select_events(events, "end")}
    adopted = list(select_events(events, "adopt"))
    last_ms = events[-1]["at_ms"] if events else 0.0
    violations = []
    for ready in select_events(events, "ready"):
        incarnation = _incarnation(ready)
        end_ms = min(last_ms, ended_ms.get(incarnation, _NEVER_ENDED_MS))
        for published in select_events(events, "publish"):
            due_ms = max(published["at_ms"] + bound_ms, ready["at_ms"])
            if due_ms < end_ms and not _is_adopted(adopted, incarnation, published, due_ms):
                detail = f"{published['key']} {published['revision']}"
                violations.append(Violation("revision-late", str(incarnation), detail))
    return violations


def _is_adopted(
    adopted: list[Event], incarnation: _Incarnation, published: Event, due_ms: float
) -> bool:
    return any(
        _incarnation(event) == incarnation
        and event["key"] == published["key"]
        and event["revision"] >= published["revision"]
        and event["at_ms"] <= due_ms
        for event in adopted
    )


def _incarnation(event: Event) -> _Incarnation:
    return event["node"], event["incarnation"]
