"""Admission of a forwarded request when it arrives."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from rhubarbhinge.admission._forecast import earliest_start_ms
from rhubarbhinge.admission._queue import QueuedRequest, SearcherQueue


class ServiceTimes(Struct, frozen=True):
    """Delays of a service's requests.

    :param lower_ms: lower quartile; 0 if there are too few samples.
    :param median_ms: median.
    """

    lower_ms: float
    median_ms: float


class QueueFigures(Struct, frozen=True):
    """State of the queues of a service at this entry.

    :param waiting: number of waiting requests.
    :param pace_per_ms: rate at which they are sent; 0 without searchers.
    :param expected_ms: expected time until a request that arrives now ends.
    """

    waiting: int
    pace_per_ms: float
    expected_ms: float

    @property
    def drained_after_ms(self) -> float:
        """Time until all waiting requests have been sent; 0 if the pace is unknown."""
        return self.waiting / self.pace_per_ms if self.pace_per_ms > 0.0 else 0.0


class Accepted(Struct, frozen=True):
    """The request is forwarded."""


class Rejected(Struct, frozen=True):
    """The request cannot be served before its deadline and is not forwarded.

    :param retry_after_ms: time after which the caller may retry.
    :param left_ms: time left until the last useful start of the request.
    :param figures: state of the queues.
    """

    retry_after_ms: float
    left_ms: float
    figures: QueueFigures


def queue_figures(queues: Sequence[SearcherQueue], times: ServiceTimes) -> QueueFigures:
    """Summarize the queues of a service.

    :param queues: queues of the searchers that may receive requests.
    :param times: delays of the requests.
    :returns: the figures. A searcher whose pace is unknown counts as sending at its full
        concurrency.
    """
    waiting = sum(len(queue.waiting) for queue in queues)
    median_ms = max(1.0, times.median_ms)
    pace_per_ms = sum(queue.pace_per_ms or queue.concurrency / median_ms for queue in queues)
    wait_ms = waiting / pace_per_ms if pace_per_ms > 0.0 else 0.0
    return QueueFigures(waiting, pace_per_ms, wait_ms + times.median_ms)


def decide(
    request: QueuedRequest,
    queues: Sequence[SearcherQueue],
    times: ServiceTimes,
    now_ms: float,
    assign_return: Callable[[QueueFigures], float],
) -> Accepted | Rejected:
    """Decide whether a request that arrives now is forwarded.

    It is rejected only if it cannot start in time at any searcher, even if every request ends as
    soon as the fastest quarter. Nothing is rejected while no searcher is known, while nothing waits
    for one of the searchers, or without samples.

    :param request: the request.
    :param queues: queues of the searchers that may receive it.
    :param times: delays of such requests.
    :param now_ms: current time.
    :param assign_return: returns the time in ms after which a rejected caller may retry.
    :returns: the decision.
    """
    if not queues or not all(queue.waiting for queue in queues):
        return Accepted()
    lower_ms = min(times.lower_ms, *(queue.lower_ms for queue in queues))
    if lower_ms <= 0.0:
        return Accepted()
    starts_ms = (earliest_start_ms(request, queue, lower_ms, now_ms) for queue in queues)
    if min(starts_ms) <= max(now_ms, request.useful_until_ms):
        return Accepted()
    figures = queue_figures(queues, times)
    return Rejected(assign_return(figures), request.useful_until_ms - now_ms, figures)
