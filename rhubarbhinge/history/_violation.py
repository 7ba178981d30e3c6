"""A broken promise in a history."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise in a history.

    :param rule: what was broken, a short code.
    :param subject: the request, ticket, searcher or node that it shows on.
    :param detail: what was seen.
    """

    rule: str
    subject: str
    detail: str = ""
