"""Periodic review of the queue of one searcher."""

import heapq
import math

from rhubarbhinge.admission import LOWER_QUARTILE, QueuedRequest, SearcherQueue, turn_ms, unservable
from rhubarbhinge.forward._connections import SearcherConnections
from rhubarbhinge.forward._outcome import FailureReason
from rhubarbhinge.forward._pending_exchange import PendingExchange

REVIEW_INTERVAL_MS = 50.0
"""Interval at which waiting requests are reviewed: a caller learns of a refusal within a fraction
of a request's work."""


def searcher_queue(
    connections: SearcherConnections | None, concurrency: int, now_ms: float
) -> SearcherQueue:
    """Describe the queue of a searcher to admission control.

    :param connections: connections to the searcher; None if there are none.
    :param concurrency: maximum number of requests in progress at the searcher.
    :param now_ms: current time.
    :returns: the queue.
    """
    if connections is None:
        return SearcherQueue((), concurrency)
    waiting = [one for one in connections.waiting if not one.finished]
    return _describe(connections, waiting, concurrency, now_ms)


def review(
    connections: SearcherConnections, concurrency: int, now_ms: float
) -> list[tuple[PendingExchange, FailureReason]]:
    """Remove the forwarded requests that can no longer be served from a queue.

    Requests that can no longer meet their objective are moved behind the others. Shards of searches
    are left as they are.

    :param connections: connections to the searcher, and its queue.
    :param concurrency: maximum number of requests in progress at the searcher.
    :param now_ms: current time.
    :returns: the requests removed, each with its reason.
    """
    removed = []
    kept = []
    for pending in connections.waiting:
        if pending.finished:
            continue
        if pending.is_forwarded and pending.exchange.deadline_ms - now_ms < pending.least_ms:
            removed.append((pending, FailureReason.TOO_LATE))
            continue
        if pending.is_forwarded and pending.exchange.due_ms - now_ms < pending.least_on_time_ms:
            pending.late = True
        kept.append(pending)
    forwarded = [one for one in kept if one.is_forwarded]
    queue = _describe(connections, forwarded, concurrency, now_ms)
    if forwarded and queue.lower_ms > 0.0:
        one_turn_ms = turn_ms(queue, queue.lower_ms)
        too_long = {
            forwarded[index].number
            for index in unservable(queue.waiting, concurrency, one_turn_ms, now_ms)
        }
        removed += [(one, FailureReason.QUEUE_TOO_LONG) for one in kept if one.number in too_long]
        kept = [one for one in kept if one.number not in too_long]
    connections.waiting[:] = kept
    heapq.heapify(connections.waiting)
    return removed


def withdraw_expected_late(
    connections: SearcherConnections, concurrency: int, now_ms: float
) -> list[PendingExchange]:
    """Remove the forwarded requests whose turn is expected too late at the recent pace.

    While :func:`review` removes only what can't be served in any case, this is for requests that
    another entry could serve meanwhile.

    :param connections: connections to the searcher, and its queue.
    :param concurrency: maximum number of requests in progress at the searcher.
    :param now_ms: current time.
    :returns: the requests removed.
    """
    pace_per_ms = connections.pace.per_ms(now_ms) or math.inf
    removed, kept, turns = [], [], 0
    for pending in sorted(one for one in connections.waiting if not one.finished):
        exchange = pending.exchange
        full_pace_per_ms = concurrency / max(1.0, exchange.delays.quantile(0.5))
        turn_at_ms = now_ms + turns / min(pace_per_ms, full_pace_per_ms)
        if pending.is_forwarded and turn_at_ms > exchange.deadline_ms - pending.least_ms:
            removed.append(pending)
        else:
            kept.append(pending)
            turns += 1
    connections.waiting[:] = kept
    return removed


def _describe(
    connections: SearcherConnections,
    waiting: list[PendingExchange],
    concurrency: int,
    now_ms: float,
) -> SearcherQueue:
    pace_per_ms = connections.pace.per_ms(now_ms)
    return SearcherQueue(_queued(waiting, now_ms), concurrency, pace_per_ms, _lower_ms(waiting))


def _lower_ms(waiting: list[PendingExchange]) -> float:
    """Return the shortest time of the requests; 0 if it is not known of all their routes."""
    delays = {id(one.exchange.delays): one.exchange.delays for one in waiting}.values()
    if not all(one.is_measured for one in delays):
        return 0.0
    return min((one.quantile(LOWER_QUARTILE) for one in delays), default=float("inf"))


def _queued(waiting: list[PendingExchange], now_ms: float) -> tuple[QueuedRequest, ...]:
    # The margins are the same for all requests of a route.
    margins_ms: dict[int, tuple[float, float]] = {}
    queued = []
    for pending in waiting:
        exchange = pending.exchange
        margin_ms = margins_ms.get(id(exchange.delays))
        if margin_ms is None:
            margin_ms = (pending.least_on_time_ms, pending.least_ms)
            margins_ms[id(exchange.delays)] = margin_ms
        start_ms = exchange.virtual_start_ms
        on_time_until_ms = exchange.due_ms - margin_ms[0]
        queued.append(
            QueuedRequest(
                # Requests ordered by priority are served before forwarded ones.
                float("-inf") if start_ms is None else start_ms,
                on_time_until_ms,
                exchange.deadline_ms - margin_ms[1],
                pending.late or on_time_until_ms < now_ms,
            )
        )
    return tuple(queued)
