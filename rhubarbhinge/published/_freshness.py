"""How recent an entry's published state has to be."""

from msgspec import Struct

WATCH_SHARE = 0.4
"""Share of the time for a change that a watch of the platform lasts. It leaves room for the pause
between two watches within ``CONFIRM_SHARE``, so that watches alone confirm the state in time."""
CONFIRM_SHARE = 2 / 3
"""Share of the time for a change within which the state has to be confirmed. The rest is left for
questions on new connections and their answers."""
ANSWER_SHARE = 0.25
"""Share of the time for a change that an answer of the platform may take at first. After one that
fails there is time for a second question."""


class Freshness(Struct, frozen=True):
    """How recent an entry's published state has to be.

    A wait ends, or is abandoned, so early that a change can still be in force in time, even if the
    connection has been dead from the start.

    :param apply_within_ms: time after its acknowledgement within which a change of the published
        state has to be in force.
    """

    apply_within_ms: float = 3_000.0

    @property
    def watch_ms(self) -> float:
        """Duration of a watch of the platform."""
        return WATCH_SHARE * self.apply_within_ms

    @property
    def confirm_within_ms(self) -> float:
        """Time within which the state has to be confirmed again."""
        return CONFIRM_SHARE * self.apply_within_ms

    @property
    def answer_within_ms(self) -> float:
        """Time that the platform may take to answer at first, beyond the duration of a watch."""
        return ANSWER_SHARE * self.apply_within_ms


DEFAULT_FRESHNESS = Freshness()
"""Used where the settings name no time for changes."""
