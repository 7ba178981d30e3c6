"""Validated requests of callers."""

from dataclasses import dataclass

from rhubarbhinge.register import TrafficClass


@dataclass(frozen=True, slots=True)
class SearchCommand:
    """A search request, validated against the current register and rules.

    :param collection: name of the collection to search.
    :param text: the search text.
    :param limit: maximum number of hits to return.
    :param traffic_class: traffic class whose policy applies to the search.
    :param deadline_ms: time limit for the search.
    """

    collection: str
    text: str
    limit: int
    traffic_class: TrafficClass
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RunCommand:
    """A validated request to run an action.

    :param action: the action's name.
    :param body: the complete request body, unmodified.
    """

    action: str
    body: bytes
