"""Configuration: in force everywhere within a bound, and never lower again."""

from collections.abc import Iterable

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation

_Life = tuple[str, int]
_FOREVER_MS = float("inf")


def monotonic_config(events: Iterable[Event], bound_ms: float) -> list[Violation]:
    """Check the revisions in force, over the lives of all nodes.

    :param events: the history, in the order of time; ``end`` also stands for a kill or a freeze.
    :param bound_ms: how long a publication may take to be in force; a life that gets ready later
        has to have it from then on.
    :returns: revisions that fell, and lives without a published revision when it was due.
    """
    events = list(events)
    return _falls(events) + _late(events, bound_ms)


def _falls(events: list[Event]) -> list[Violation]:
    highest: dict[tuple[_Life, str], int] = {}
    found = []
    for event in named(events, "adopt"):
        life, revision = _life(event), event["revision"]
        before = highest.get((life, event["key"]), 0)
        if revision < before:
            found.append(Violation("revision-fell", str(life), f"{before} to {revision}"))
        highest[life, event["key"]] = max(before, revision)
    return found


def _late(events: list[Event], bound_ms: float) -> list[Violation]:
    ended_ms = {_life(event): event["at_ms"] for event in named(events, "end")}
    adopted = list(named(events, "adopt"))
    last_ms = events[-1]["at_ms"] if events else 0.0
    found = []
    for ready in named(events, "ready"):
        life = _life(ready)
        end_ms = min(last_ms, ended_ms.get(life, _FOREVER_MS))
        for published in named(events, "publish"):
            due_ms = max(published["at_ms"] + bound_ms, ready["at_ms"])
            if due_ms < end_ms and not _has(adopted, life, published, due_ms):
                detail = f"{published['key']} {published['revision']}"
                found.append(Violation("revision-late", str(life), detail))
    return found


def _has(adopted: list[Event], life: _Life, published: Event, due_ms: float) -> bool:
    return any(
        _life(event) == life
        and event["key"] == published["key"]
        and event["revision"] >= published["revision"]
        and event["at_ms"] <= due_ms
        for event in adopted
    )


def _life(event: Event) -> _Life:
    return event["node"], event["incarnation"]
