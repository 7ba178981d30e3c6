"""At most once: what callers were told of their tickets against what the upstreams ran."""

from collections import Counter
from collections.abc import Iterable

from rhubarbhinge.history._event import Event, named
from rhubarbhinge.history._violation import Violation


def at_most_once(events: Iterable[Event]) -> list[Violation]:
    """Check the upstreams' logs against the callers' answers.

    An answer counts wherever it stands in the history: ``refused_not_run`` promises for ever.

    :param events: the history; answers to runs have ``outcome`` and ``ticket`` in their body.
    :returns: tickets that ran twice, ran though refused, or did not run though said to have run.
    """
    events = list(events)
    runs = Counter(event["ticket"] for event in named(events, "run"))
    found = [Violation("ran-twice", ticket) for ticket in runs if runs[ticket] > 1]
    for event in named(events, "answered"):
        outcome, ticket = event["body"].get("outcome"), event["body"].get("ticket")
        if outcome == "refused_not_run" and runs[ticket]:
            found.append(Violation("refused-but-ran", ticket))
        if outcome == "ran" and not runs[ticket]:
            found.append(Violation("told-ran-but-did-not", ticket))
    return found
