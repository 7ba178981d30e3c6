"""Outcome: an offer was not needed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ignored:
    """The offer is not above what is accepted, or was refused before.

    :param key: the document's key.
    :param revision: the revision offered.
    """

    key: str
    revision: int
