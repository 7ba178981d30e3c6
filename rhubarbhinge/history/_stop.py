"""Checks that a graceful stop completes all requests in flight."""

from collections.abc import Iterable

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation

_NOT_STOPPED_MS = float("-inf")


def graceful_stop(events: Iterable[Event]) -> list[Violation]:
    """Check that stopped nodes answered all requests sent to them before the stop.

    :param events: the history, sorted by time.
    :returns: violations for requests sent before a stop and not answered completely, and for nodes
        that did not end.
    """
    events = list(events)
    stopped_ms = {event["node"]: event["at_ms"] for event in select_events(events, "stop")}
    ended = {event["node"] for event in select_events(events, "end")}
    fully_answered = {
        event["request"] for event in select_events(events, "answered") if event["whole"]
    }
    violations = []
    for event in select_events(events, "asked"):
        before_stop = event["at_ms"] <= stopped_ms.get(event["node"], _NOT_STOPPED_MS)
        if before_stop and event["request"] not in fully_answered:
            violations.append(Violation("cut-at-stop", str(event["request"]), event["node"]))
    return violations + [Violation("did-not-end", node) for node in stopped_ms if node not in ended]
