"""Time up to which the published state of an entry is known to be current."""

from collections.abc import Callable

from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService

RECHECK_MS = 500.0
"""Interval at which an overdue confirmation is requested again."""


class Confirmation:
    """Time up to which the published state of an entry is known to be current.

    :param timers: the timer service.
    :param limit_ms: age from which on a confirmation is overdue.
    :param on_overdue: called when it is, and again while it stays so.
    :ivar confirmed_ms: the time; ``-inf`` if the state was never confirmed.
    :ivar is_overdue: whether the confirmation is overdue.
    :ivar lapses: how often the confirmation became overdue.
    """

    def __init__(self, timers: TimerService, limit_ms: float, on_overdue: Callable[[], None]):
        self._timers = timers
        self._limit_ms = limit_ms
        self._on_overdue = on_overdue
        self._started_ms = float("-inf")
        self._unread_ms = 0.0
        self.is_overdue = False
        self.confirmed_ms = float("-inf")
        self.lapses = 0

    @property
    def is_known(self) -> bool:
        """Whether the state was ever confirmed."""
        return self.confirmed_ms > float("-inf")

    def age_ms(self) -> float:
        """Return the time since the state was confirmed.

        :returns: the time; -1 if it never was.
        """
        return self._timers.now_ms() - self.confirmed_ms if self.is_known else -1.0

    def on_pause(self, late_ms: float) -> None:
        """Process a pause of this process, during which messages may have waited to be read.

        :param late_ms: how long it lasted.
        """
        self._unread_ms = late_ms
        self._timers.after(0, self._on_pause_read)

    def _on_pause_read(self) -> None:
        self._unread_ms = 0.0

    def confirm(self, age_ms: float) -> None:
        """Record that the state was current.

        :param age_ms: time since it was when the message that says so was sent; -1 if that is not
            known.
        """
        if age_ms < 0:
            return
        now_ms = self._timers.now_ms()
        self.confirmed_ms = max(self.confirmed_ms, now_ms - age_ms - self._unread_ms)
        if self.is_overdue and self._overdue_in_ms() > 0:
            self.is_overdue = False
            log_event("state-confirmed", age_ms=round(age_ms))

    def start(self) -> None:
        """Begin to check that the state is confirmed in time."""
        if self._started_ms == float("-inf"):
            self._started_ms = self._timers.now_ms()
            self._check()

    def _overdue_in_ms(self) -> float:
        since_ms = max(self.confirmed_ms, self._started_ms)
        return since_ms + self._limit_ms - self._timers.now_ms()

    def _check(self) -> None:
        remaining_ms = self._overdue_in_ms()
        if remaining_ms > 0:
            self._timers.after(remaining_ms, self._check)
            return
        if not self.is_overdue:
            self.is_overdue = True
            self.lapses += 1
            log_event("state-unconfirmed", level="warning", age_ms=round(self.age_ms()))
        self._on_overdue()
        self._timers.after(RECHECK_MS, self._check)
