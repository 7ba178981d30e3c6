"""Earliest possible start of queued requests.

All estimates are optimistic: they assume that every request in progress ends now, that each request
takes ``turn_ms``, that no further request arrives, and that the last incomplete round of the queue
takes no time. A request that is too late by these estimates cannot be served.
"""

from collections.abc import Iterable, Sequence

from rhubarbhinge.admission._queue import QueuedRequest, SearcherQueue


def turn_ms(queue: SearcherQueue, service_ms: float) -> float:
    """Return the shortest time that a request plausibly occupies one place at the searcher.

    :param queue: the searcher's queue.
    :param service_ms: lower quartile of delays. If most requests are much shorter than that, the
        rate at which requests were sent shows it.
    :returns: time in ms.
    """
    if queue.pace_per_ms <= 0.0:
        return service_ms
    return min(service_ms, queue.concurrency / queue.pace_per_ms)


def earliest_start_ms(
    request: QueuedRequest, queue: SearcherQueue, service_ms: float, now_ms: float
) -> float:
    """Estimate when a request that joins a queue is sent at the earliest.

    Requests ahead that lose their objective before this one do not delay it: at its last chance to
    meet its objective they are behind it. Once it is late too, all of them are ahead again.

    :param request: a request that does not wait yet.
    :param queue: the queue.
    :param service_ms: lower quartile of delays.
    :param now_ms: current time.
    :returns: time in ms.
    """
    one_turn_ms = turn_ms(queue, service_ms)
    ahead = [one for one in queue.waiting if one.virtual_start_ms <= request.virtual_start_ms]
    ahead_on_time = [
        one
        for one in ahead
        if not one.late and one.on_time_until_ms >= max(now_ms, request.on_time_until_ms)
    ]
    on_time_ms = now_ms + len(ahead_on_time) // queue.concurrency * one_turn_ms
    if on_time_ms <= request.on_time_until_ms:
        return on_time_ms
    turns = _turns(ahead, queue.concurrency, one_turn_ms, now_ms)
    return max(request.on_time_until_ms, now_ms + turns // queue.concurrency * one_turn_ms)


def unservable(
    waiting: Sequence[QueuedRequest], concurrency: int, one_turn_ms: float, now_ms: float
) -> list[int]:
    """Find the late requests of a queue whose turn comes too late.

    Late requests are only sent when no request waits that can meet its objective: once those have
    been sent, or have become late themselves.

    :param waiting: the requests of a queue.
    :param concurrency: number of requests that may be in progress.
    :param one_turn_ms: time that a request occupies one place.
    :param now_ms: current time.
    :returns: indices of these requests.
    """
    on_time = [one for one in waiting if not one.late]
    start_ms = now_ms
    if on_time:
        last_ms = max(one.on_time_until_ms for one in on_time)
        start_ms = min(now_ms + len(on_time) // concurrency * one_turn_ms, max(now_ms, last_ms))
    late = [index for index, one in enumerate(waiting) if one.late]
    late.sort(key=lambda index: waiting[index].virtual_start_ms)
    found, turns = [], 0
    for index in late:
        if start_ms + turns // concurrency * one_turn_ms > waiting[index].useful_until_ms:
            found.append(index)
        else:
            turns += 1
    return found


def _turns(
    ahead: Iterable[QueuedRequest], concurrency: int, one_turn_ms: float, now_ms: float
) -> int:
    """Count the requests ahead whose own turn comes before it is too late for them."""
    turns = 0
    for one in sorted(ahead, key=lambda one: one.virtual_start_ms):
        if now_ms + turns // concurrency * one_turn_ms <= one.useful_until_ms:
            turns += 1
    return turns
