"""Decisions about incoming requests."""

from typing import Literal

from msgspec import Struct

ALLOWED: Literal["allowed"] = "allowed"
"""The request is sent to all searchers that it needs."""
ONE_FIRST: Literal["one-first"] = "one-first"
"""The request is sent to one searcher, and to the others once that one has replied."""


class Quarantined(Struct, frozen=True):
    """The request is refused.

    :param ended: number of searchers known to have crashed during the request, up to a bound.
    :param retry_after_ms: time until the request may be tried again.
    """

    ended: int
    retry_after_ms: float


Decision = Literal["allowed", "one-first"] | Quarantined
