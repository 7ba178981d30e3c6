"""Handle of a scheduled timer."""

from collections.abc import Callable


class TimerHandle:
    """A timer that runs once or periodically until it is cancelled.

    :param callback: called without arguments when the timer is due.
    :param period_ms: the period in milliseconds; None for a timer that runs once.
    :param on_cancel: called when an active timer is cancelled.
    """

    __slots__ = ("active", "callback", "period_ms", "_on_cancel")

    def __init__(
        self,
        callback: Callable[[], None],
        period_ms: float | None,
        on_cancel: Callable[[], None],
    ):
        self.active = True
        self.callback = callback
        self.period_ms = period_ms
        self._on_cancel = on_cancel

    def cancel(self) -> None:
        """Cancel the timer; may be called more than once."""
        if self.active:
            self.active = False
            self.callback = _do_nothing
            self._on_cancel()


def _do_nothing() -> None:
    """Replaces the callback of a cancelled timer, so that objects it refers to can be freed."""
