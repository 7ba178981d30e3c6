"""How recent an entry's published state has to be."""

from msgspec import Struct

CONFIRM_SHARE = 2 / 3
"""Share of the time for a change within which the state has to be confirmed. The rest is left for a
question on a new connection and its answer."""


class Freshness(Struct, frozen=True):
    """How recent an entry's published state has to be.

    :param apply_within_ms: time after its acknowledgement within which a change of the published
        state has to be in force.
    """

    apply_within_ms: float = 3_000.0

    @property
    def confirm_within_ms(self) -> float:
        """Time within which the state has to be confirmed again."""
        return CONFIRM_SHARE * self.apply_within_ms


DEFAULT_FRESHNESS = Freshness()
"""Used where the settings name no time for changes."""
