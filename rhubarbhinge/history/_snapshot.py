"""Checks that all hits of an answer come from the snapshot that it states."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation


def one_snapshot(
    events: Iterable[Event], snapshot_of: Callable[[Mapping[str, Any]], tuple[str, int]]
) -> list[Violation]:
    """Check that no answer mixes collections or index versions.

    :param events: the history.
    :param snapshot_of: returns the collection and index version of a hit.
    :returns: violations for answers with a hit from another collection or version than stated.
    """
    violations = []
    for event in select_events(events, "answered"):
        snapshot = event["body"].get("snapshot", {})
        stated = (snapshot.get("collection"), snapshot.get("version"))
        hit_snapshots = {snapshot_of(hit) for hit in event["body"].get("hits", ())}
        if hit_snapshots - {stated}:
            violations.append(
                Violation("mixed-snapshot", str(event["request"]), f"{stated}: {hit_snapshots}")
            )
    return violations
