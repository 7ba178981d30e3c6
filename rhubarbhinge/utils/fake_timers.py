"""Timers whose time a test moves."""

import heapq
import itertools
from collections.abc import Callable

from rhubarbhinge.timing import Subscription


class FakeTimers:
    """Stands in for the timer service in tests of what decides.

    :param now_ms: the time to start at.
    """

    def __init__(self, now_ms: float = 1_000.0):
        self._now_ms = now_ms
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Subscription]] = []

    def now_ms(self) -> float:
        """Read the clock.

        :returns: the time.
        """
        return self._now_ms

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Subscription:
        """Call back once.

        :param delay_ms: how long from now.
        :param callback: called without arguments.
        :returns: the handle to cancel it by.
        """
        subscription = Subscription(callback, None, lambda: None)
        entry = (self._now_ms + delay_ms, next(self._sequence), subscription)
        heapq.heappush(self._heap, entry)
        return subscription

    def stand_still(self, duration_ms: float) -> None:
        """Let time pass in which nothing is called back, as for a process that is held up.

        :param duration_ms: how long.
        """
        self._now_ms += duration_ms

    def advance(self, duration_ms: float) -> None:
        """Let time pass, and call back what is due on the way.

        :param duration_ms: how long.
        """
        end_ms = self._now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, subscription = heapq.heappop(self._heap)
            self._now_ms = max(self._now_ms, due_ms)
            if subscription.active:
                subscription.active = False
                subscription.callback()
        self._now_ms = end_ms
