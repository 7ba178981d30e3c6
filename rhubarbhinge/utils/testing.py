"""Running the event loop of a circuits component tree in the thread of a test."""

import os
import time
from collections.abc import Callable

from circuits import BaseComponent
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

TICK_S = 0.05
"""Maximum duration of one event loop iteration's poll, in seconds."""


def run_until(
    root: BaseComponent,
    predicate: Callable[[], bool],
    timeout_s: float = 10.0,
    tick_s: float = TICK_S,
) -> bool:
    """Run the event loop of a component tree until a condition holds or a timeout has elapsed.

    :param root: root of the tree; its event loop must not be running elsewhere.
    :param predicate: the condition, checked after each event loop iteration.
    :param timeout_s: the timeout in seconds.
    :param tick_s: maximum duration of one iteration's poll, in seconds.
    :returns: whether the condition holds.
    """
    root._running = True
    end_s = time.monotonic() + timeout_s
    while not predicate():
        if time.monotonic() > end_s:
            return False
        root.tick(tick_s)
    return True


def run_for(root: BaseComponent, duration_s: float) -> None:
    """Run the event loop of a component tree for some time.

    :param root: root of the tree; its event loop must not be running elsewhere.
    :param duration_s: the time in seconds.
    """
    run_until(root, lambda: False, duration_s)


def stop_tree(root: BaseComponent) -> None:
    """Stop a component tree, which closes the sockets owned by its components.

    :param root: root of the tree.
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
