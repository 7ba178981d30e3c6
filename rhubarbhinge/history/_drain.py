"""Checks that a draining upstream receives no new requests after a time bound."""

from collections.abc import Iterable

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation

_NOT_COUNTED_MS = float("-inf")


def drain_bound(events: Iterable[Event], bound_ms: float) -> list[Violation]:
    """Check that requests stop arriving at draining searchers.

    :param events: the history, sorted by time.
    :param bound_ms: how long after the first drain signal requests may still arrive.
    :returns: violations for requests that arrived later.
    """
    draining_since_ms: dict[str, float] = {}
    violations = []
    for event in select_events(events, "drain", "drain-undone", "search", "run", "refuse"):
        searcher = event["searcher"]
        if event["event"] == "drain":
            draining_since_ms.setdefault(searcher, event["at_ms"])
        elif event["event"] == "drain-undone":
            draining_since_ms.pop(searcher, None)
        elif (
            searcher in draining_since_ms
            and _arrived_ms(event) > draining_since_ms[searcher] + bound_ms
        ):
            late_ms = _arrived_ms(event) - draining_since_ms[searcher]
            violations.append(
                Violation(
                    "work-after-drain", searcher, f"arrived {late_ms} ms after the drain signal"
                )
            )
    return violations


def _arrived_ms(event: Event) -> float:
    """Return the arrival time of a request.

    A searcher refuses with code ``draining`` on arrival, so that such an event gives the arrival
    time. Other refusals do not count as arrivals.
    """
    if event["event"] == "refuse" and event["code"] != "draining":
        return _NOT_COUNTED_MS
    return event.get("arrived_ms", event["at_ms"])
