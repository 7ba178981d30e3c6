"""Checks that every request receives exactly one complete answer, which belongs to it."""

from collections import Counter
from collections.abc import Callable, Iterable

from rhubarbhinge.history._event import Event, select_events
from rhubarbhinge.history._violation import Violation


def own_answer(events: Iterable[Event], is_own: Callable[[Event, Event], bool]) -> list[Violation]:
    """Check that every request received exactly one complete answer, which belongs to it.

    :param events: the history.
    :param is_own: predicate of an ``asked`` and an ``answered`` event; true if the answer is
        correct for that request.
    :returns: violations for missing, duplicate, truncated, unrequested and mismatched answers.
    """
    events = list(events)
    asked = {event["request"]: event for event in select_events(events, "asked")}
    answer_counts = Counter(event["request"] for event in select_events(events, "answered"))
    violations = [
        Violation("not-answered", str(request)) for request in asked if not answer_counts[request]
    ]
    violations += [
        Violation("answered-twice", str(request))
        for request in answer_counts
        if answer_counts[request] > 1
    ]
    for event in select_events(events, "answered"):
        subject = str(event["request"])
        if event["request"] not in asked:
            violations.append(Violation("never-asked", subject))
        elif not event["whole"]:
            violations.append(Violation("answer-cut", subject))
        elif not is_own(asked[event["request"]], event):
            violations.append(Violation("answer-of-another", subject))
    return violations
