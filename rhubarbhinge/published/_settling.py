"""When what is decided by time is settled, and everything is to be asked for once more."""

from rhubarbhinge.timing import TimerService

SETTLED_MS = 8_000.0
"""So long after a return of the platform from a copy, or after a peer has told all it knows, it is
decided what becomes of entries that are kept for a while, or kept aside. Both take 5 s at most."""


class Settling:
    """When what is decided by time is settled, and everything is to be asked for once more.

    What ends by time has no revision: entries at the same one would not hear of it from each other.

    :param timers: the timer service.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._settled_ms = float("-inf")
        self._ask_for_all_ms = float("inf")

    @property
    def is_under_way(self) -> bool:
        """Whether it is not decided yet what a copy of the platform holds wrongly."""
        return self._timers.now_ms() < self._settled_ms

    @property
    def wants_all(self) -> bool:
        """Whether everything is to be asked for once more, though no revision says so."""
        return self._timers.now_ms() >= self._ask_for_all_ms

    def on_restored(self) -> None:
        """Note that the platform has come back from a copy."""
        self._settled_ms = self._ask_for_all_ms = self._timers.now_ms() + SETTLED_MS

    def on_all_told(self, by_peer: bool) -> None:
        """Note that everything was told.

        :param by_peer: whether a peer told it, which may keep some of it for a while only, and may
            not be asked any more from now on.
        """
        if self.wants_all:
            self._ask_for_all_ms = float("inf")
        elif by_peer and self._ask_for_all_ms == float("inf"):
            self._ask_for_all_ms = self._timers.now_ms() + SETTLED_MS
