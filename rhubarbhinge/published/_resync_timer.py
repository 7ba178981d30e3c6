"""Schedule of full resynchronizations after time-dependent decisions."""

from rhubarbhinge.timing import TimerService

SETTLE_MS = 8_000.0
"""Time after the platform was restored from a backup, or after a peer sent its full state, when it
is decided what becomes of retained and unverified store entries. Both take 5 s at most."""


class ResyncTimer:
    """Decides when the full state has to be requested once more.

    What expires by time has no revision: entries at the same revision would not learn it from each
    other.

    :param timers: the timer service.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._settled_at_ms = float("-inf")
        self._due_at_ms = float("inf")

    @property
    def is_settling(self) -> bool:
        """Whether it is not yet decided which store entries of a restored platform are obsolete."""
        return self._timers.now_ms() < self._settled_at_ms

    @property
    def is_due(self) -> bool:
        """Whether the full state has to be requested, although no revision indicates a change."""
        return self._timers.now_ms() >= self._due_at_ms

    def on_platform_restored(self) -> None:
        """Schedule a resynchronization after the platform was restored from a backup."""
        self._settled_at_ms = self._due_at_ms = self._timers.now_ms() + SETTLE_MS

    def on_full_state(self, by_peer: bool) -> None:
        """Note that the full state was received.

        :param by_peer: whether a peer sent it. The peer may only retain some of it for a while, and
            may not be asked again later.
        """
        if self.is_due:
            self._due_at_ms = float("inf")
        elif by_peer and self._due_at_ms == float("inf"):
            self._due_at_ms = self._timers.now_ms() + SETTLE_MS
