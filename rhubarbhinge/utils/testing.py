"""Pumping a circuits tree in the thread of a test."""

import os
import time
from collections.abc import Callable

from circuits import BaseComponent
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

TICK_S = 0.05
"""Longest that one pass of the loop may sleep, in seconds."""


def run_until(root: BaseComponent, predicate: Callable[[], bool], timeout_s: float = 10.0) -> bool:
    """Run the loop of a tree until a condition holds or a bound has passed.

    :param root: the root of the tree, which must not run elsewhere.
    :param predicate: the condition, checked after each pass of the loop.
    :param timeout_s: the bound, in seconds.
    :returns: whether the condition came to hold.
    """
    root._running = True
    end_s = time.monotonic() + timeout_s
    while not predicate():
        if time.monotonic() > end_s:
            return False
        root.tick(TICK_S)
    return True


def run_for(root: BaseComponent, duration_s: float) -> None:
    """Run the loop of a tree for a while.

    :param root: the root of the tree, which must not run elsewhere.
    :param duration_s: how long, in seconds.
    """
    run_until(root, lambda: False, duration_s)


def stop_tree(root: BaseComponent) -> None:
    """Stop a tree, which closes the sockets that its components own.

    :param root: the root of the tree.
    """
    root._running = True
    poller = findcmp(root, BasePoller)
    root.stop()
    if poller is not None:
        _close_poller(poller)


def _close_poller(poller: BasePoller) -> None:
    os.close(poller._ctrl_recv)
    os.close(poller._ctrl_send)
    if hasattr(poller, "_poller"):
        poller._poller.close()
