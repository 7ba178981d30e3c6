"""Violation of a guarantee, found in a history."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a guarantee, found in a history.

    :param rule: short code of the violated rule.
    :param subject: the request, ticket, key, searcher or node that is affected.
    :param detail: the observed values.
    """

    rule: str
    subject: str
    detail: str = ""
