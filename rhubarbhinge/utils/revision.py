"""How far the platform's published state is known."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count


class Revision(Struct, frozen=True, order=True):
    """How far the platform's published state is known, ordered by era, then by number.

    The platform counts its changes. When it comes back from a copy of itself, it has lost the
    latest of them and gives their numbers out again, in a new era. So a number says nothing
    without its era.

    :param era: rises each time that the platform comes back from a copy; 0 where it is not told.
    :param number: the changes of the era's history, up to which the state is known.
    """

    era: Count = 0
    number: Count = 0

    def __str__(self) -> str:
        return f"{self.era}:{self.number}"


NO_REVISION = Revision()
"""Below what the platform tells: nothing is known."""
