"""Callbacks that run at fixed points of one event loop iteration."""

from collections.abc import Callable

from circuits import BaseComponent, handler

from rhubarbhinge.utils.failstop import fail_stop

NOTIFY_PRIORITY = 5
"""Closed links are reported after due timers have run."""

FLUSH_PRIORITY = -5
"""Pending data is written after all other callbacks of the iteration and before polling."""


class LoopHooks(BaseComponent):
    """Runs callbacks that socket owners request for the current or the next event loop iteration.

    A component tree has one shared instance: a ``generate_events`` handler in each socket owner
    would cost a call in every iteration, even when idle.
    """

    channel = "loop-hooks"

    def __init__(self) -> None:
        super().__init__()
        self._notify_callbacks: list[Callable[[], None]] = []
        self._flush_callbacks: list[Callable[[], None]] = []

    def notify_next_iteration(self, callback: Callable[[], None]) -> None:
        """Run a callback after the due timers of the next iteration.

        That iteration starts without waiting for sockets or timers.

        :param callback: called once.
        """
        self._notify_callbacks.append(callback)

    def flush_this_iteration(self, callback: Callable[[], None]) -> None:
        """Run a callback at the end of this iteration.

        :param callback: called once.
        """
        self._flush_callbacks.append(callback)

    @handler("generate_events", channel="*", priority=NOTIFY_PRIORITY)
    def _on_notify(self, event) -> None:
        if self._notify_callbacks:
            callbacks, self._notify_callbacks = self._notify_callbacks, []
            _run_callbacks(callbacks)

    @handler("generate_events", channel="*", priority=FLUSH_PRIORITY)
    def _on_flush(self, event) -> None:
        if self._flush_callbacks:
            callbacks, self._flush_callbacks = self._flush_callbacks, []
            _run_callbacks(callbacks)
        if self._notify_callbacks:
            event.reduce_time_left(0)


def _run_callbacks(callbacks: list[Callable[[], None]]) -> None:
    try:
        for callback in callbacks:
            callback()
    except Exception as error:
        fail_stop(error)
