"""What owners of sockets do once in a loop turn, if they have anything to do."""

from collections.abc import Callable

from circuits import BaseComponent, handler

from rhubarbhinge.utils.failstop import fail_stop

NOTIFY_PRIORITY = 5
"""Closes are told after due timers have run."""

FLUSH_PRIORITY = -5
"""Writes happen after all callbacks of a turn and before the poll."""


class Turns(BaseComponent):
    """Calls those owners of sockets that asked for it, once in a loop turn.

    A tree holds one; a handler of each owner would cost a call in every turn, idle or not.
    """

    channel = "turns"

    def __init__(self) -> None:
        super().__init__()
        self._notify: list[Callable[[], None]] = []
        self._flush: list[Callable[[], None]] = []

    def notify_soon(self, callback: Callable[[], None]) -> None:
        """Call back after the due timers of the next turn, which then begins at once.

        :param callback: called once.
        """
        self._notify.append(callback)

    def flush_soon(self, callback: Callable[[], None]) -> None:
        """Call back at the end of this turn.

        :param callback: called once.
        """
        self._flush.append(callback)

    @handler("generate_events", channel="*", priority=NOTIFY_PRIORITY)
    def _on_notify(self, event) -> None:
        if self._notify:
            callbacks, self._notify = self._notify, []
            _call(callbacks)

    @handler("generate_events", channel="*", priority=FLUSH_PRIORITY)
    def _on_flush(self, event) -> None:
        if self._flush:
            callbacks, self._flush = self._flush, []
            _call(callbacks)
        if self._notify:
            event.reduce_time_left(0)


def _call(callbacks: list[Callable[[], None]]) -> None:
    try:
        for callback in callbacks:
            callback()
    except Exception as error:
        fail_stop(error)
