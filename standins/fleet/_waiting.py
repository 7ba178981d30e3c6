"""Waiting with a bound."""

import time
from collections.abc import Callable

READY_WAIT_S = 20.0
"""How long a process may take until its ready line, on a busy machine."""

STOP_WAIT_S = 10.0
"""How long a process may take to end after it was asked."""

POLL_S = 0.01
"""How often a condition that is waited for is looked at."""


def wait_until(holds: Callable[[], object], wait_s: float = READY_WAIT_S) -> bool:
    """Wait until a condition holds.

    :param holds: Looks whether it does.
    :param wait_s: How long to wait at most, in seconds.
    :returns: Whether it held in time.
    """
    until_s = time.monotonic() + wait_s
    while not holds():
        if time.monotonic() > until_s:
            return False
        time.sleep(POLL_S)
    return True
