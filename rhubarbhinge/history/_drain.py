"""Drain: an upstream that is leaving receives no new work after a bound."""

from collections.abc import Iterable

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation

_NEVER_MS = float("-inf")


def drain_bound(events: Iterable[Event], bound_ms: float) -> list[Violation]:
    """Check that work stops arriving at searchers that leave.

    :param events: the history, in the order of time.
    :param bound_ms: how long after the earliest signal work may still arrive.
    :returns: work that arrived later.
    """
    since_ms: dict[str, float] = {}
    found = []
    for event in named(events, "drain", "drain-undone", "search", "run", "refuse"):
        searcher = event["searcher"]
        if event["event"] == "drain":
            since_ms.setdefault(searcher, event["at_ms"])
        elif event["event"] == "drain-undone":
            since_ms.pop(searcher, None)
        elif searcher in since_ms and _arrived_ms(event) > since_ms[searcher] + bound_ms:
            late_ms = _arrived_ms(event) - since_ms[searcher]
            found.append(Violation("work-after-drain", searcher, f"{late_ms} ms after"))
    return found


def _arrived_ms(event: Event) -> float:
    """Give when work arrived; what is refused for draining is refused on arrival."""
    if event["event"] == "refuse" and event["code"] != "draining":
        return _NEVER_MS
    return event.get("arrived_ms", event["at_ms"])
