"""Own answer: every caller gets one answer, whole, to its own request."""

from collections import Counter
from collections.abc import Callable, Iterable

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation


def own_answer(events: Iterable[Event], is_own: Callable[[Event, Event], bool]) -> list[Violation]:
    """Check that every request has one answer, which is its own.

    :param events: the history.
    :param is_own: tells whether an ``answered`` event answers an ``asked`` one.
    :returns: requests without an answer, with several, with a cut or another's one.
    """
    events = list(events)
    asked = {event["request"]: event for event in named(events, "asked")}
    count = Counter(event["request"] for event in named(events, "answered"))
    found = [Violation("not-answered", str(request)) for request in asked if not count[request]]
    found += [Violation("answered-twice", str(request)) for request in count if count[request] > 1]
    for event in named(events, "answered"):
        subject = str(event["request"])
        if event["request"] not in asked:
            found.append(Violation("never-asked", subject))
        elif not event["whole"]:
            found.append(Violation("answer-cut", subject))
        elif not is_own(asked[event["request"]], event):
            found.append(Violation("answer-of-another", subject))
    return found
