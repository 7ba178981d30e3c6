"""Queue of forwarded requests at one searcher, and the order in which it is served."""

from msgspec import Struct

LOWER_QUARTILE = 0.25
"""Quantile of delays that counts as the shortest time of a request."""
PRIORITY_STEP_MS = 100.0
"""Head start of a request over one of the next lower priority. Less urgent requests are overtaken
only by those that arrive within this time, a fraction of any objective of forwarded requests."""
CALLER_STEP_MS = 50.0
"""Delay of a request in the queue for each request of its caller that waits or runs, so that a
caller that repeats immediately queues behind those that do not."""
MAX_CALLER_STEPS = 20
"""Maximum number of such steps. It bounds the delay to 1 s, as callers behind one address
translation would otherwise be overtaken until they are too late."""


def virtual_start_ms(arrived_ms: float, priority: int, same_caller: int) -> float:
    """Return the time by which forwarded requests are ordered.

    :param arrived_ms: arrival of the request.
    :param priority: priority of the request; 0 is the highest.
    :param same_caller: number of requests of its caller that wait or run for the service.
    :returns: virtual start time in ms; the earliest is served first.
    """
    steps = min(same_caller, MAX_CALLER_STEPS)
    return arrived_ms + PRIORITY_STEP_MS * priority + CALLER_STEP_MS * steps


class QueuedRequest(Struct, frozen=True):
    """A request in a queue, or one that would join it.

    :param virtual_start_ms: orders requests, as returned by :func:`virtual_start_ms`.
    :param on_time_until_ms: last time at which it can be sent and meet its objective.
    :param useful_until_ms: last time at which it can be sent and end before its deadline.
    :param late: whether it waits behind those that can meet their objective.
    """

    virtual_start_ms: float
    on_time_until_ms: float
    useful_until_ms: float
    late: bool = False


class SearcherQueue(Struct, frozen=True):
    """Requests that wait here for one searcher.

    :param waiting: the requests, in any order.
    :param concurrency: number of requests that this entry may have in progress at the searcher.
    :param pace_per_ms: rate at which waiting requests were sent recently; 0 if unknown.
    :param lower_ms: lower quartile of the delays of the waiting requests, at the route where it is
        least; 0 if there are too few samples.
    """

    waiting: tuple[QueuedRequest, ...]
    concurrency: int
    pace_per_ms: float = 0.0
    lower_ms: float = float("inf")
