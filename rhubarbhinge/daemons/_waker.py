"""Wakes a core when it has something to do."""

import math
from collections.abc import Callable

from rhubarbhinge.timing import TimerHandle, TimerService

#: A core is woken no sooner than this, so that a busy node is not all timers.
_LEAST_SLEEP_MS = 1.0


class Waker:
    """Keeps one timer at the time of a core's next tick.

    :param timers: the timer service.
    :param tick: called when it is due.
    :param most_sleep_ms: the tick comes at least this often once asked for.
    """

    def __init__(
        self, timers: TimerService, tick: Callable[[], None], most_sleep_ms: float
    ) -> None:
        self._timers = timers
        self._tick = tick
        self._most_sleep_ms = most_sleep_ms
        self._subscription: TimerHandle | None = None
        self._wake_ms = math.inf

    def wake_by(self, due_ms: float | None) -> None:
        """Ask for a tick.

        :param due_ms: when, on the timer service's clock; None for no later than the bound.
        """
        now_ms = self._timers.now_ms()
        latest_ms = now_ms + self._most_sleep_ms
        wanted_ms = latest_ms if due_ms is None else min(latest_ms, due_ms)
        wake_ms = max(wanted_ms, now_ms + _LEAST_SLEEP_MS)
        if wake_ms >= self._wake_ms:
            return
        if self._subscription is not None:
            self._subscription.cancel()
        self._wake_ms = wake_ms
        self._subscription = self._timers.after(wake_ms - now_ms, self._wake)

    def _wake(self) -> None:
        self._subscription = None
        self._wake_ms = math.inf
        self._tick()
