"""A fake timer service whose clock is advanced by the test."""

import heapq
import itertools
from collections.abc import Callable

from rhubarbhinge.timing import DEFAULT_PAUSE_THRESHOLD_MS, TimerHandle


class FakeTimers:
    """Replaces the timer service in tests of code without sockets.

    :param now_ms: the initial time.
    """

    def __init__(self, now_ms: float = 1_000.0):
        self._now_ms = now_ms
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._pause_callbacks: list[Callable[[float], None]] = []

    def now_ms(self) -> float:
        """Return the current time.

        :returns: the time in milliseconds.
        """
        return self._now_ms

    def after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback to run once.

        :param delay_ms: delay in milliseconds.
        :param callback: called without arguments.
        :returns: a handle to cancel the timer with.
        """
        timer = TimerHandle(callback, None, lambda: None)
        entry = (self._now_ms + delay_ms, next(self._sequence), timer)
        heapq.heappush(self._heap, entry)
        return timer

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Register a callback for pauses of the process.

        :param callback: called with the duration of a pause in milliseconds.
        """
        self._pause_callbacks.append(callback)

    def stall(self, duration_ms: float) -> None:
        """Advance the clock without running timers, like a process that is stalled.

        :param duration_ms: time in milliseconds.
        """
        self._now_ms += duration_ms
        if duration_ms > DEFAULT_PAUSE_THRESHOLD_MS:
            for callback in self._pause_callbacks:
                callback(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Advance the clock and run the timers that become due.

        :param duration_ms: time in milliseconds.
        """
        end_ms = self._now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, timer = heapq.heappop(self._heap)
            self._now_ms = max(self._now_ms, due_ms)
            if timer.active:
                timer.active = False
                timer.callback()
        self._now_ms = end_ms
