"""Running the callbacks of ready sockets."""

from collections.abc import Callable
from typing import Any

from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.failstop import fail_stop


def run_socket_callback(
    timers: TimerService, callback: Callable[..., None], *arguments: Any
) -> None:
    """Run a callback for a ready socket; an exception in it stops the process.

    The timer service is notified first that polling has ended, so that the callback doesn't see the
    time from before the poll.

    :param timers: the timer service.
    :param callback: the function to call.
    :param arguments: its positional arguments.
    """
    try:
        if timers.is_polling:
            timers.poll_returned()
        callback(*arguments)
    except Exception as error:
        fail_stop(error)
