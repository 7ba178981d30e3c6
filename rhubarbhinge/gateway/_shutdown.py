"""Graceful shutdown of an entry."""

from collections.abc import Callable

from rhubarbhinge.delegation import DelegateServer
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import HttpServer

MIN_SHUTDOWN_MS = 3_200.0
"""Minimum duration of a shutdown: the load balancer needs two failed checks, one second apart, to
notice that the entry is not ready."""
STOP_MARGIN_MS = 500.0
"""A stopping entry ends this long before it would be killed."""
ANSWER_MARGIN_MS = 200.0
"""All requests are answered this long before the latest end, so that callers can read the answers.
"""
STOP_POLL_MS = 20.0
"""Interval at which a stopping entry checks whether all requests are answered."""


class Shutdown:
    """Ends the process once the load balancer has reacted and all requests are answered.

    :param timers: the timer service.
    :param callers: server for callers.
    :param delegate_server: serves the requests of other entries.
    :param limit_deadlines: called with the time by which all requests have to be answered.
    :param end: ends the process.
    """

    def __init__(
        self,
        timers: TimerService,
        callers: HttpServer,
        delegate_server: DelegateServer,
        limit_deadlines: Callable[[float], None],
        end: Callable[[], None],
    ):
        self._timers = timers
        self._callers = callers
        self._delegate_server = delegate_server
        self._limit_deadlines = limit_deadlines
        self._end = end
        self._latest_end_ms = 0.0
        self._earliest_end_ms = 0.0

    def begin(self, grace_ms: float) -> None:
        """Close idle connections, answer remaining requests, then end the process.

        Requests that can't be completed until then are refused as soon as this is known, or
        answered before the process ends: closing their connections would leave their callers
        without knowledge of whether they have run.

        :param grace_ms: time until the process would be killed.
        """
        now_ms = self._timers.now_ms()
        available_ms = grace_ms - STOP_MARGIN_MS
        self._latest_end_ms = now_ms + available_ms
        self._earliest_end_ms = now_ms + min(MIN_SHUTDOWN_MS, available_ms)
        log_event(
            "stop-started",
            open_requests=self._callers.open_requests,
            delegated=self._delegate_server.active_requests,
            ends_within_ms=round(available_ms),
        )
        self._callers.begin_closing()
        self._limit_deadlines(max(now_ms, self._latest_end_ms - ANSWER_MARGIN_MS))
        self._timers.every(STOP_POLL_MS, self._poll)

    def _poll(self) -> None:
        now_ms = self._timers.now_ms()
        late = now_ms >= self._latest_end_ms
        open_work = self._callers.open_requests + self._delegate_server.active_requests
        unsent_bytes = self._callers.unsent_bytes + self._delegate_server.unsent_bytes
        answered = open_work == 0 and unsent_bytes == 0
        if late or (answered and now_ms >= self._earliest_end_ms):
            log_event("stopped", open_requests=self._callers.open_requests, late=late)
            self._end()
