"""Checks at-most-once execution: the outcomes told to callers against the upstreams' run logs."""

from collections.abc import Iterable, Iterator
from urllib.parse import quote

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation
from rhubarbhinge.once import OutcomeKind, check_history

_ENTRY_EVENTS = ("mint", "send")
_OUTCOMES = frozenset(kind.value for kind in OutcomeKind)


def at_most_once(events: Iterable[Event]) -> list[Violation]:
    """Check the upstreams' run logs against the logs of entries and callers.

    The rules are those of :func:`rhubarbhinge.once.check_history`. If the history has no ``mint``
    or no ``send`` events, for example because an entry was killed, one event of that name is
    assumed for each ticket that was sent or run.

    :param events: the history, sorted by time; answers to runs have ``outcome`` and ``ticket`` in
        their body.
    :returns: violations such as tickets that ran twice, ran although refused or did not run
        although reported as run, and keys bound to more than one ticket.
    """
    events = list(events)
    lines = [
        line for name in _missing_event_names(events) for line in _assumed_log_lines(events, name)
    ]
    lines += [line for event in events for line in _log_lines(event)]
    return [Violation(each.kind.value, each.subject) for each in check_history(lines)]


def _missing_event_names(events: list[Event]) -> list[str]:
    return [name for name in _ENTRY_EVENTS if not any(True for _ in select_events(events, name))]


def _assumed_log_lines(events: list[Event], name: str) -> list[str]:
    tickets = dict.fromkeys(event["ticket"] for event in select_events(events, "run", "send"))
    return [f"{name} {ticket} -" for ticket in tickets]


def _log_lines(event: Event) -> Iterator[str]:
    match event["event"]:
        case "mint" | "send" | "run" as name:
            yield f"{name} {event['ticket']} -"
        case "bind":
            yield f"bind {event['ticket']} {quote(event['key'], safe='')}"
        case "answered" if event["body"].get("outcome") in _OUTCOMES:
            yield f"answer {event['body']['ticket']} {event['body']['outcome']}"
