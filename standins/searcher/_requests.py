"""What a searcher is asked."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """The body of ``POST /search``.

    :param call: The call's identity.
    :param collection: The collection's name.
    :param version: The index version.
    :param lo: The first key of the range.
    :param hi: The key after the last.
    :param text: The text sought.
    :param limit: The most hits to give.
    :param deadline_ms: Time left, from the arrival.
    """

    call: str
    collection: str
    version: int
    lo: int
    hi: int
    text: str
    limit: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class RunRequest:
    """The body of ``POST /run``.

    :param ticket: The ticket's identity.
    :param action: The action's name.
    :param body: What the action is given.
    :param deadline_ms: Time left, from the arrival.
    """

    ticket: str
    action: str
    body: dict[str, object]
    deadline_ms: float
