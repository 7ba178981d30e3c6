"""At most once: what callers were told of their tickets against what the upstreams ran."""

from collections.abc import Iterable, Iterator
from urllib.parse import quote

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation
from rhubarbhinge.once import OutcomeKind, check_history

_ENTRY_EVENTS = ("mint", "send")
_OUTCOMES = frozenset(kind.value for kind in OutcomeKind)


def at_most_once(events: Iterable[Event]) -> list[Violation]:
    """Check the upstreams' logs against the entries' and the callers' ones.

    The rules are those of :func:`rhubarbhinge.once.check_history`. Where the entries' log is not
    in the history, as when an entry was killed, what it would say is taken as said.

    :param events: the history, in the order of time; answers to runs have ``outcome`` and
        ``ticket`` in their body.
    :returns: tickets that ran twice, ran though refused, or did not run though said to have run,
        and keys that were given more than once.
    """
    events = list(events)
    lines = [line for name in _missing_logs(events) for line in _assumed(events, name)]
    lines += [line for event in events for line in _lines(event)]
    return [Violation(each.kind.value, each.subject) for each in check_history(lines)]


def _missing_logs(events: list[Event]) -> list[str]:
    return [name for name in _ENTRY_EVENTS if not any(True for _ in named(events, name))]


def _assumed(events: list[Event], name: str) -> list[str]:
    tickets = dict.fromkeys(event["ticket"] for event in named(events, "run", "send"))
    return [f"{name} {ticket} -" for ticket in tickets]


def _lines(event: Event) -> Iterator[str]:
    match event["event"]:
        case "mint" | "send" | "run" as name:
            yield f"{name} {event['ticket']} -"
        case "bind":
            yield f"bind {event['ticket']} {quote(event['key'], safe='')}"
        case "answered" if event["body"].get("outcome") in _OUTCOMES:
            yield f"answer {event['body']['ticket']} {event['body']['outcome']}"
