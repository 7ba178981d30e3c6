"""One snapshot: all hits of an answer are of the version that it states."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation


def one_snapshot(
    events: Iterable[Event], snapshot_of: Callable[[Mapping[str, Any]], tuple[str, int]]
) -> list[Violation]:
    """Check that no answer mixes versions.

    :param events: the history.
    :param snapshot_of: gives a hit's collection and index version.
    :returns: answers with a hit of another collection or version than stated.
    """
    found = []
    for event in named(events, "answered"):
        snapshot = event["body"].get("snapshot", {})
        stated = (snapshot.get("collection"), snapshot.get("version"))
        seen = {snapshot_of(hit) for hit in event["body"].get("hits", ())}
        if seen - {stated}:
            found.append(Violation("mixed-snapshot", str(event["request"]), f"{stated}: {seen}"))
    return found
