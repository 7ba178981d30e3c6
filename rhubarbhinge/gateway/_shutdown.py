"""The graceful end of an entry."""

from collections.abc import Callable

from rhubarbhinge.delegation import DelegateServer
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpServer

UNREADY_MS = 3_200.0
"""A stopping entry goes on this long: the balancer needs two misses, a second apart, to notice."""
STOP_MARGIN_MS = 500.0
"""A stopping entry ends this much before it would be killed."""
STOP_POLL_MS = 20.0
"""How often a stopping entry looks whether all is answered."""


class Shutdown:
    """Waits until the balancer has noticed and all is answered, then ends the process.

    :param timers: the timer service.
    :param callers: serves callers.
    :param asks: serves other entries.
    :param end: ends the process.
    """

    def __init__(
        self,
        timers: TimerService,
        callers: HttpServer,
        asks: DelegateServer,
        end: Callable[[], None],
    ):
        self._timers = timers
        self._callers = callers
        self._asks = asks
        self._end = end
        self._end_by_ms = 0.0
        self._quiet_at_ms = 0.0

    def begin(self, grace_ms: float) -> None:
        """Close idle connections, answer what comes, then end.

        :param grace_ms: time until the process would be killed.
        """
        now_ms = self._timers.now_ms()
        left_ms = grace_ms - STOP_MARGIN_MS
        self._end_by_ms = now_ms + left_ms
        self._quiet_at_ms = now_ms + min(UNREADY_MS, left_ms)
        log_event("stop-started", open_requests=self._callers.open_requests)
        self._callers.begin_closing()
        self._timers.every(STOP_POLL_MS, self._look)

    def _look(self) -> None:
        now_ms = self._timers.now_ms()
        late = now_ms >= self._end_by_ms
        open_work = self._callers.open_requests + self._asks.active_requests
        unsent_bytes = self._callers.unsent_bytes + self._asks.unsent_bytes
        answered = open_work == 0 and unsent_bytes == 0
        if late or (answered and now_ms >= self._quiet_at_ms):
            log_event("stopped", open_requests=self._callers.open_requests, late=late)
            self._end()
