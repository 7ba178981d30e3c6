"""Timers in the event loop, and detection of pauses of the process."""

from rhubarbhinge.timing._service import DEFAULT_PAUSE_THRESHOLD_MS, TimerService
from rhubarbhinge.timing._timer_handle import TimerHandle

__all__ = ["DEFAULT_PAUSE_THRESHOLD_MS", "TimerHandle", "TimerService"]
