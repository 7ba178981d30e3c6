"""Admission control of forwarded requests at this entry."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from rhubarbhinge.admission import (
    LOWER_QUARTILE,
    QueuedRequest,
    QueueFigures,
    Rejected,
    ReturnTimes,
    SearcherQueue,
    ServiceTimes,
    decide,
    queue_figures,
    virtual_start_ms,
)
from rhubarbhinge.fleet import Delays, Fleet
from rhubarbhinge.forward import CallerRequest, ConnectionPool, least_on_time_ms, least_useful_ms
from rhubarbhinge.telemetry import Metrics, ScalarMetric, log_event

REFUSED = ScalarMetric(
    "admission_refused_total", "Forwarded requests refused by admission control", True
)
EXPECTED_WAIT = ScalarMetric(
    "expected_wait_ms", "Expected wait of a forwarded request, at the service with the longest"
)

ServiceQueues = Callable[[str], Sequence[SearcherQueue]]
"""Returns the queues at the searchers of a service that may receive requests."""


def service_queues(fleet: Fleet, pool: ConnectionPool) -> ServiceQueues:
    """Create a function that returns the queues of a service.

    :param fleet: known searchers.
    :param pool: connections to them.
    :returns: the function.
    """
    return lambda service: [
        pool.queue(observed)
        for observed in fleet.of_service(service)
        if observed.usable and not observed.is_down
    ]


class AdmittedRequest(Struct, frozen=True):
    """A forwarded request that was admitted.

    :param virtual_start_ms: position of the request in queues.
    :param leave: called once when the request has ended.
    """

    virtual_start_ms: float
    leave: Callable[[], None]


class _ServiceState:
    """Requests of one service in progress, by caller, and the return times assigned."""

    def __init__(self, rng: random.Random, delays: Delays):
        self.callers: Counter[str] = Counter()
        self.return_times = ReturnTimes(rng)
        self.delays = delays


class ForwardAdmission:
    """Decides which forwarded requests are admitted, and when refused callers may return.

    :param queues: returns the queues of a service.
    :param now_ms: returns the current time.
    :param rng: source of the jitter of return times.
    :ivar refused: number of requests refused on arrival since startup.
    """

    def __init__(self, queues: ServiceQueues, now_ms: Callable[[], float], rng: random.Random):
        self._queues = queues
        self._now_ms = now_ms
        self._rng = rng
        self._services: dict[str, _ServiceState] = {}
        self.refused = 0

    def arrive(
        self,
        request: CallerRequest,
        service: str,
        priority: int,
        due_ms: float,
        deadline_ms: float,
        delays: Delays,
        min_retry_ms: float,
    ) -> AdmittedRequest | Rejected:
        """Decide on a request that arrives now.

        :param request: the request.
        :param service: service that is to execute it.
        :param priority: priority of the request; 0 is the highest.
        :param due_ms: time at which the reply is due under the latency objective.
        :param deadline_ms: time at which the caller stops waiting.
        :param delays: recent reply times of such requests.
        :param min_retry_ms: minimum delay before the caller may retry.
        :returns: the admitted request, or the rejection, which is logged.
        """
        now_ms = self._now_ms()
        state = self._state(service, delays)
        caller = request.caller_ip
        start_ms = virtual_start_ms(now_ms, priority, state.callers[caller] if caller else 0)
        on_time_until_ms = due_ms - least_on_time_ms(delays)
        useful_until_ms = deadline_ms - least_useful_ms(delays)
        decision = decide(
            QueuedRequest(start_ms, on_time_until_ms, useful_until_ms),
            self._queues(service),
            _times(delays),
            now_ms,
            lambda figures: self._assign(state, figures, min_retry_ms),
        )
        if isinstance(decision, Rejected):
            self.refused += 1
            _log_rejected(request.id, decision)
            return decision
        if not caller:
            return AdmittedRequest(start_ms, lambda: None)
        state.callers[caller] += 1
        return AdmittedRequest(start_ms, lambda: _leave(state.callers, caller))

    def retry_after_ms(self, service: str, delays: Delays, min_retry_ms: float) -> float:
        """Assign a return time to a caller whose request waited in vain.

        :param service: the service.
        :param delays: recent reply times of such requests.
        :param min_retry_ms: minimum delay before the caller may retry.
        :returns: time in ms after which the caller may retry.
        """
        state = self._state(service, delays)
        return self._assign(state, self._figures(service, state), min_retry_ms)

    def retain(self, services: Iterable[str]) -> None:
        """Forget services that are no longer configured and have no request in progress.

        :param services: the configured services.
        """
        kept = set(services)
        for name in [name for name, state in self._services.items() if not state.callers]:
            if name not in kept:
                del self._services[name]

    def update(self, metrics: Metrics) -> None:
        """Set the current values of the metrics.

        :param metrics: receives the values.
        """
        longest_ms = 0.0
        for service, state in self._services.items():
            figures = self._figures(service, state)
            metrics.set_queue_length(service, figures.waiting)
            longest_ms = max(longest_ms, figures.drained_after_ms)
        metrics.set_scalar(EXPECTED_WAIT, longest_ms)
        metrics.set_scalar(REFUSED, self.refused)

    def _state(self, service: str, delays: Delays) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(self._rng, delays)
        state.delays = delays
        return state

    def _figures(self, service: str, state: _ServiceState) -> QueueFigures:
        return queue_figures(self._queues(service), _times(state.delays))

    def _assign(self, state: _ServiceState, figures: QueueFigures, min_retry_ms: float) -> float:
        return state.return_times.assign(
            self._now_ms(), figures.drained_after_ms, figures.pace_per_ms, min_retry_ms
        )


def _times(delays: Delays) -> ServiceTimes:
    lower_ms = delays.quantile(LOWER_QUARTILE) if delays.is_measured else 0.0
    return ServiceTimes(lower_ms, delays.quantile(0.5))


def _leave(callers: Counter[str], caller: str) -> None:
    callers[caller] -= 1
    if callers[caller] <= 0:
        del callers[caller]


def _log_rejected(request_id: str, decision: Rejected) -> None:
    figures = decision.figures
    log_event(
        "admission-refused",
        request=request_id,
        waiting=figures.waiting,
        pace_per_s=round(1e3 * figures.pace_per_ms, 1),
        expected_ms=round(figures.expected_ms),
        left_ms=round(decision.left_ms),
        retry_after_ms=round(decision.retry_after_ms),
    )
