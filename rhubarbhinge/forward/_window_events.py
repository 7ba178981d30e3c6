"""Log events of send windows."""

from rhubarbhinge.fleet import ObservedSearcher, SendWindow
from rhubarbhinge.telemetry import log_event

LOG_INTERVAL_MS = 1_000.0
"""At most one reduction per searcher is logged in this time; a full searcher refuses ten times as
often."""


def log_reduction(
    observed: ObservedSearcher, window: SendWindow, limit: int, now_ms: float
) -> None:
    """Log that a send window was reduced, unless this was logged recently.

    :param observed: the searcher.
    :param window: its send window.
    :param limit: present limit of requests in flight.
    :param now_ms: current time.
    """
    if now_ms - window.logged_ms < LOG_INTERVAL_MS:
        return
    window.logged_ms = now_ms
    log_event(
        "send-window-reduced",
        level="warning",
        searcher=observed.searcher.incarnation,
        window=window.size(limit, now_ms),
        limit=limit,
    )
