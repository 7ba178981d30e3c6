"""A handle on a timer."""

from collections.abc import Callable


class Subscription:
    """A timer that is due once or at a period, until cancelled.

    :param callback: called without arguments when due.
    :param period_ms: the period in milliseconds, or None for a timer that is due once.
    :param on_cancel: called on the first cancel of an active timer.
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
        """Make sure that the callback is not called any more; harmless when repeated."""
        if self.active:
            self.active = False
            self.callback = _nothing
            self._on_cancel()


def _nothing() -> None:
    """Stand in for the callback of a cancelled timer, whose own state can be freed."""
