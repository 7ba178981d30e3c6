"""Names that are no longer published but retained for a grace period."""

from collections.abc import Callable

from rhubarbhinge.timing import TimerService


class LapsedNames:
    """Names that are no longer published but may be again, each with a deadline of its own.

    :param timers: the timer service.
    :param on_expired: called with each name whose deadline has passed.
    """

    def __init__(self, timers: TimerService, on_expired: Callable[[str], None]):
        self._timers = timers
        self._on_expired = on_expired
        self._until_ms: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._until_ms

    def retain(self, name: str, period_ms: float) -> None:
        """Retain a name for a period. Does not extend an earlier deadline of the same name.

        :param name: the name.
        :param period_ms: the period.
        """
        until_ms = self._timers.now_ms() + max(0.0, period_ms)
        if until_ms >= self._until_ms.get(name, float("inf")):
            return
        self._until_ms[name] = until_ms
        self._timers.after(max(0.0, period_ms), lambda: self._expire(name, until_ms))

    def restart_periods(self, period_ms: float) -> None:
        """Retain all current names for a full period from now on.

        :param period_ms: the period.
        """
        names = list(self._until_ms)
        self._until_ms.clear()
        for name in names:
            self.retain(name, period_ms)

    def discard(self, name: str) -> None:
        """Stop retaining a name, because it is published again or was removed.

        :param name: the name.
        """
        self._until_ms.pop(name, None)

    def remaining_ms(self) -> dict[str, float]:
        """Return how much longer each name is retained.

        :returns: times by name.
        """
        now_ms = self._timers.now_ms()
        return {name: max(0.0, until_ms - now_ms) for name, until_ms in self._until_ms.items()}

    def _expire(self, name: str, until_ms: float) -> None:
        if self._until_ms.get(name) == until_ms:
            del self._until_ms[name]
            self._on_expired(name)
