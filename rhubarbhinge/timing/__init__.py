"""Timers that parts subscribe to, and detection of pauses of the process."""

from rhubarbhinge.timing._service import DEFAULT_PAUSE_BOUND_MS, TimerService
from rhubarbhinge.timing._subscription import Subscription

__all__ = ["DEFAULT_PAUSE_BOUND_MS", "Subscription", "TimerService"]
