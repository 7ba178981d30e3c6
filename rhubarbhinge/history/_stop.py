"""Graceful stop: nothing that was in flight is cut."""

from collections.abc import Iterable

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation

_NEVER_MS = float("-inf")


def no_cut(events: Iterable[Event]) -> list[Violation]:
    """Check that a node that was told to stop answered all that it had been asked before.

    :param events: the history, in the order of time.
    :returns: requests asked before a stop and not answered whole, and nodes that did not end.
    """
    events = list(events)
    stopped_ms = {event["node"]: event["at_ms"] for event in named(events, "stop")}
    ended = {event["node"] for event in named(events, "end")}
    whole = {event["request"] for event in named(events, "answered") if event["whole"]}
    found = []
    for event in named(events, "asked"):
        before_stop = event["at_ms"] <= stopped_ms.get(event["node"], _NEVER_MS)
        if before_stop and event["request"] not in whole:
            found.append(Violation("cut-at-stop", str(event["request"]), event["node"]))
    return found + [Violation("did-not-end", node) for node in stopped_ms if node not in ended]
