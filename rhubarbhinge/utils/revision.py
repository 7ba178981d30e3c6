"""Revisions of the platform's published state."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Count


class Revision(Struct, frozen=True, order=True):
    """A revision of the platform's published state, ordered by era, then by number.

    The platform numbers its changes. When it is restored from an older copy, it has lost its latest
    changes and reuses their numbers in a new era, so a number is only meaningful together with its
    era.

    :param era: increases each time the platform is restored from a copy; 0 if it is not known.
    :param number: number of the last known change within the era.
    """

    era: Count = 0
    number: Count = 0

    def __str__(self) -> str:
        return f"{self.era}:{self.number}"


NO_REVISION = Revision()
"""Lower than any published revision: no state is known."""
