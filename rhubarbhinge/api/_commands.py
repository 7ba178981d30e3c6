"""Callers' requests, checked."""

from dataclasses import dataclass

from rhubarbhinge.register import TrafficClass


@dataclass(frozen=True, slots=True)
class SearchCommand:
    """A search, checked against the register and rules in force.

    :param collection: the collection.
    :param text: the search text.
    :param limit: most hits wanted.
    :param traffic_class: the class whose policy holds.
    :param deadline_ms: time allowed.
    """

    collection: str
    text: str
    limit: int
    traffic_class: TrafficClass
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RunCommand:
    """A request to run an action.

    :param action: the action's name.
    :param body: the whole request body, bytes as they came.
    """

    action: str
    body: bytes
