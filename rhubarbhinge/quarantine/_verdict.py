"""What becomes of a request that is read."""

from typing import Literal

from msgspec import Struct

ALLOWED: Literal["allowed"] = "allowed"
"""It goes to all searchers that it needs."""
ONE_FIRST: Literal["one-first"] = "one-first"
"""It goes to one searcher, and to the others once that one has replied."""


class Quarantined(Struct, frozen=True):
    """It is refused.

    :param ended: how many searchers are known to have ended under it, up to a bound.
    :param retry_after_ms: when it may be tried again.
    """

    ended: int
    retry_after_ms: float


Verdict = Literal["allowed", "one-first"] | Quarantined
