"""A retry that waits for a loan of retry budget."""

from collections.abc import Callable

from rhubarbhinge.forward._call_context import CallContext
from rhubarbhinge.timing import TimerHandle

LOAN_WAIT_MS = 25.0
"""Maximum time for which a retry waits for a loan of retry budget; an entry that is asked replies
within some milliseconds, or is given up after 20."""


class LoanWait:
    """The wait of one retry, which may cover several requests for loans.

    The loan that came first may have been spent by another call.

    :param context: dependencies shared by all calls.
    :param service: name of the service.
    :param deadline_ms: time at which the caller stops waiting.
    :param on_ended: called after each :meth:`start`, when a request has ended or the time is up.
    """

    __slots__ = ("_context", "_service", "_until_ms", "_on_ended", "_timer")

    def __init__(
        self,
        context: CallContext,
        service: str,
        deadline_ms: float,
        on_ended: Callable[[], None],
    ):
        self._context = context
        self._service = service
        self._until_ms = min(context.timers.now_ms() + LOAN_WAIT_MS, deadline_ms)
        self._on_ended = on_ended
        self._timer: TimerHandle | None = None

    def start(self) -> bool:
        """Wait until the outstanding request for a loan has ended.

        :returns: whether there is one, and time left to wait for it.
        """
        left_ms = self._until_ms - self._context.timers.now_ms()
        if left_ms <= 0 or not self._context.loans.wait(self._service, self._end):
            return False
        if self._timer is None:
            self._timer = self._context.timers.after(left_ms, self._end)
        return True

    def cancel(self) -> None:
        """Wait no longer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._context.loans.stop_waiting(self._service, self._end)

    def _end(self) -> None:
        if self._timer is not None:
            self.cancel()
            self._on_ended()
