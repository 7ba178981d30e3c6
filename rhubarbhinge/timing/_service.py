"""The timer service: a heap of timers in the event loop of a circuits component tree."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, handler

from rhubarbhinge.timing._timer_handle import TimerHandle
from rhubarbhinge.utils.failstop import fail_stop

DEFAULT_PAUSE_THRESHOLD_MS = 500.0
"""Delay of an event loop iteration, in milliseconds, above which the process counts as paused."""

RUN_PRIORITY = 9
"""Due timers run before other ``generate_events`` handlers, which may write data sent by timers."""

BEFORE_POLL_PRIORITY = -8
"""The poll timeout is computed just before the poller's own handler, which has priority -9."""

MIN_CANCELLED_TO_COMPACT = 64
"""Cancelled timers are removed once they exceed this number and half of the heap."""


def monotonic_ms() -> float:
    """Read the monotonic clock that includes time during which the machine is suspended.

    ``CLOCK_MONOTONIC`` stops during suspension, so that a resumed VM would still accept tickets and
    deadlines that have expired.

    :returns: milliseconds since an arbitrary start.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class TimerService(BaseComponent):
    """Runs callbacks when timers are due, and after pauses of the process.

    :param clock: returns the monotonic time in milliseconds.
    :param pause_threshold_ms: delay of an event loop iteration above which the process counts as
        paused.
    """

    channel = "timing"

    def __init__(
        self,
        clock: Callable[[], float] = monotonic_ms,
        pause_threshold_ms: float = DEFAULT_PAUSE_THRESHOLD_MS,
    ):
        super().__init__()
        self.now_ms = clock
        self.is_polling = False
        self._pause_threshold_ms = pause_threshold_ms
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._sequence = itertools.count()
        self._cancelled_count = 0
        self._pause_callbacks: list[Callable[[float], None]] = []
        self._last_check_ms: float | None = None
        self._requested_wait_ms: float | None = 0.0
        self._is_deferring_timers = False

    def after(self, delay_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback to run once.

        :param delay_ms: delay in milliseconds.
        :param callback: called without arguments.
        :returns: a handle to cancel the timer with.
        """
        timer = TimerHandle(callback, None, self._count_cancelled)
        self._push(self.now_ms() + delay_ms, timer)
        return timer

    def every(self, period_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Schedule a callback to run periodically, first after one period.

        Periods missed during a pause are skipped.

        :param period_ms: the period in milliseconds, greater than 0.
        :param callback: called without arguments.
        :returns: a handle to cancel the timer with.
        :raises ValueError: if the period is not positive.
        """
        if period_ms <= 0:
            raise ValueError("the period must be greater than 0 ms")
        timer = TimerHandle(callback, period_ms, self._count_cancelled)
        self._push(self.now_ms() + period_ms, timer)
        return timer

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Register a callback for pauses of the process.

        It runs before due timers and before data received during the pause is read. After a pause,
        this data is read before timers that became due are run.

        With at least one such callback, the event loop never waits longer than the pause threshold.

        :param callback: called with the delay of the event loop iteration in milliseconds.
        """
        self._pause_callbacks.append(callback)

    def poll_returned(self) -> bool:
        """Record that polling has ended; socket owners call this if :attr:`is_polling` is set.

        :returns: whether the process was paused while it polled.
        """
        self.is_polling = False
        return self._check_for_pause(self.now_ms(), self._requested_wait_ms)

    @handler("generate_events", priority=RUN_PRIORITY)
    def _on_iteration(self, event) -> None:
        # A poll during which the process was stopped may return nothing, whatever has arrived.
        was_paused = self.is_polling and self.poll_returned()
        now_ms = self.now_ms()
        was_paused |= self._check_for_pause(now_ms, 0.0)
        # Deadlines that expired during a pause would fail requests whose replies are still unread.
        self._is_deferring_timers = was_paused and not self._is_deferring_timers
        if not self._is_deferring_timers and self._heap and self._heap[0][0] <= now_ms:
            self._run_due(now_ms)

    @handler("generate_events", priority=BEFORE_POLL_PRIORITY)
    def _before_poll(self, event) -> None:
        now_ms = self.now_ms()
        self._check_for_pause(now_ms, 0.0)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - now_ms) / 1e3)
        if self._pause_callbacks:
            event.reduce_time_left(self._pause_threshold_ms / 1e3)
        wait_s = event.time_left
        self._requested_wait_ms = None if wait_s < 0 else wait_s * 1e3
        self.is_polling = True

    def _check_for_pause(self, now_ms: float, requested_wait_ms: float | None) -> bool:
        last_check_ms, self._last_check_ms = self._last_check_ms, now_ms
        if last_check_ms is None or requested_wait_ms is None:
            return False
        late_ms = now_ms - last_check_ms - requested_wait_ms
        is_pause = late_ms > self._pause_threshold_ms
        if is_pause:
            self._report_pause(late_ms)
        return is_pause

    def _run_due(self, now_ms: float) -> None:
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due.append(heapq.heappop(self._heap))
        for due_ms, _, timer in due:
            if timer.active:
                self._run(due_ms, now_ms, timer)
            else:
                self._cancelled_count = max(0, self._cancelled_count - 1)

    def _run(self, due_ms: float, now_ms: float, timer: TimerHandle) -> None:
        period_ms = timer.period_ms
        if period_ms is None:
            timer.active = False
        else:
            next_ms = due_ms + period_ms
            self._push(next_ms if next_ms > now_ms else now_ms + period_ms, timer)
        try:
            timer.callback()
        except Exception as error:
            fail_stop(error)

    def _report_pause(self, late_ms: float) -> None:
        try:
            for callback in self._pause_callbacks:
                callback(late_ms)
        except Exception as error:
            fail_stop(error)

    def _push(self, due_ms: float, timer: TimerHandle) -> None:
        heapq.heappush(self._heap, (due_ms, next(self._sequence), timer))

    def _count_cancelled(self) -> None:
        self._cancelled_count += 1
        if self._cancelled_count > MIN_CANCELLED_TO_COMPACT and self._cancelled_count * 2 > len(
            self._heap
        ):
            self._heap = [entry for entry in self._heap if entry[2].active]
            heapq.heapify(self._heap)
            self._cancelled_count = 0
