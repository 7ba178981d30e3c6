"""The timer service: one heap of timers in the loop of a circuits tree."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, handler

from rhubarbhinge.timing._subscription import Subscription
from rhubarbhinge.utils.failstop import fail_stop

DEFAULT_PAUSE_BOUND_MS = 500.0
"""Lateness of a loop turn, in milliseconds, above which the process counts as paused."""

RUN_PRIORITY = 9
"""Due timers run before other ``generate_events`` handlers, which may write what timers send."""

SLEEP_PRIORITY = -8
"""The sleep is worked out just before the poller's own handler, which has priority -9."""

COMPACT_LEAST = 64
"""Cancelled timers are swept out of the heap once more than these, and half of it, are dead."""


def monotonic_ms() -> float:
    """Read the monotonic clock that goes on while the machine is suspended.

    ``CLOCK_MONOTONIC`` stands still then, so that a suspended VM would wake up believing in tickets
    and deadlines that are over.

    :returns: milliseconds since an arbitrary start.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class TimerService(BaseComponent):
    """Calls subscribers when their time has come, and after a pause of the process.

    :param clock: returns monotonic milliseconds.
    :param pause_bound_ms: lateness of a loop turn above which the process counts as paused.
    """

    channel = "timing"

    def __init__(
        self,
        clock: Callable[[], float] = monotonic_ms,
        pause_bound_ms: float = DEFAULT_PAUSE_BOUND_MS,
    ):
        super().__init__()
        self.now_ms = clock
        self.asleep = False
        self._pause_bound_ms = pause_bound_ms
        self._heap: list[tuple[float, int, Subscription]] = []
        self._sequence = itertools.count()
        self._dead = 0
        self._on_pause: list[Callable[[float], None]] = []
        self._last_ms: float | None = None
        self._asked_ms: float | None = 0.0
        self._reads_first = False

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Subscription:
        """Call back once.

        :param delay_ms: how long from now, in milliseconds.
        :param callback: called without arguments.
        :returns: the handle to cancel it by.
        """
        subscription = Subscription(callback, None, self._cancelled)
        self._push(self.now_ms() + delay_ms, subscription)
        return subscription

    def every(self, period_ms: float, callback: Callable[[], None]) -> Subscription:
        """Call back at a period, first after one period; periods missed in a pause are skipped.

        :param period_ms: the period in milliseconds, above 0.
        :param callback: called without arguments.
        :returns: the handle to cancel it by.
        """
        if period_ms <= 0:
            raise ValueError("a period is above 0 ms")
        subscription = Subscription(callback, period_ms, self._cancelled)
        self._push(self.now_ms() + period_ms, subscription)
        return subscription

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Subscribe to pauses: called before any due timer and any data that came in meanwhile.

        Data that came in is read before timers that became due are called.

        While anyone subscribes, the loop sleeps no longer than the bound at a time.

        :param callback: given the lateness of the loop turn in milliseconds.
        """
        self._on_pause.append(callback)

    def wake(self) -> None:
        """Note that the poll has returned; owners of sockets call this when :attr:`asleep`."""
        self.asleep = False
        self._note_gap(self.now_ms(), self._asked_ms)

    @handler("generate_events", priority=RUN_PRIORITY)
    def _on_turn(self, event) -> None:
        if self.asleep:
            self.wake()
        now_ms = self.now_ms()
        was_paused = self._note_gap(now_ms, 0.0)
        # Deadlines that passed in a pause would end requests whose replies wait to be read.
        self._reads_first = was_paused and not self._reads_first
        if not self._reads_first and self._heap and self._heap[0][0] <= now_ms:
            self._run_due(now_ms)

    @handler("generate_events", priority=SLEEP_PRIORITY)
    def _on_sleep(self, event) -> None:
        now_ms = self.now_ms()
        self._note_gap(now_ms, 0.0)
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - now_ms) / 1e3)
        if self._on_pause:
            event.reduce_time_left(self._pause_bound_ms / 1e3)
        left_s = event.time_left
        self._asked_ms = None if left_s < 0 else left_s * 1e3
        self.asleep = True

    def _note_gap(self, now_ms: float, asked_ms: float | None) -> bool:
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None or asked_ms is None:
            return False
        late_ms = now_ms - last_ms - asked_ms
        is_pause = late_ms > self._pause_bound_ms
        if is_pause:
            self._tell_pause(late_ms)
        return is_pause

    def _run_due(self, now_ms: float) -> None:
        due = []
        while self._heap and self._heap[0][0] <= now_ms:
            due.append(heapq.heappop(self._heap))
        for due_ms, _, subscription in due:
            if subscription.active:
                self._run(due_ms, now_ms, subscription)
            else:
                self._dead = max(0, self._dead - 1)

    def _run(self, due_ms: float, now_ms: float, subscription: Subscription) -> None:
        period_ms = subscription.period_ms
        if period_ms is None:
            subscription.active = False
        else:
            next_ms = due_ms + period_ms
            self._push(next_ms if next_ms > now_ms else now_ms + period_ms, subscription)
        try:
            subscription.callback()
        except Exception as error:
            fail_stop(error)

    def _tell_pause(self, late_ms: float) -> None:
        try:
            for callback in self._on_pause:
                callback(late_ms)
        except Exception as error:
            fail_stop(error)

    def _push(self, due_ms: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, (due_ms, next(self._sequence), subscription))

    def _cancelled(self) -> None:
        self._dead += 1
        if self._dead > COMPACT_LEAST and self._dead * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].active]
            heapq.heapify(self._heap)
            self._dead = 0
