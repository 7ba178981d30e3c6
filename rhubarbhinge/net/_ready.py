"""What is done for a socket that the poller found ready."""

from collections.abc import Callable
from typing import Any

from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.failstop import fail_stop


def act_on_ready(timers: TimerService, action: Callable[..., None], *arguments: Any) -> None:
    """Act after the clock of this loop turn is set; a fault of ours stops the process.

    :param timers: the timer service; woken if it still has the time from before the wait.
    :param action: what to do.
    :param arguments: its arguments.
    """
    try:
        if timers.asleep:
            timers.wake()
        action(*arguments)
    except Exception as error:
        fail_stop(error)
