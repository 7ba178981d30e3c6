"""Sends requests to a searcher, directly or from its queue."""

from math import ceil
from typing import Any

from rhubarbhinge.routing._completion import fail, fail_queue
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._sendrun import SendRun
from rhubarbhinge.routing._sendsearch import SendSearch
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.wire import SubCode


def send_or_queue(upstream: Upstream, job: Job, now_ms: int, effects: list[Any]) -> None:
    """Send an admitted request, or queue it.

    :param upstream: the searcher's state.
    :param job: the request.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    pool = upstream.pool
    if pool.idle and upstream.in_flight < upstream.allowed:
        left_ms = job.due_ms - now_ms - upstream.policy.upstream_margin_ms
        _send(upstream, job, left_ms, now_ms, effects)
        pool.open_missing(0, now_ms, effects)
        return
    upstream.queue.push(job)
    _open_missing(upstream, now_ms, effects)


def send_queued(table: RequestTable, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
    """Send queued requests while there are slots and connections; fail those past their deadline.

    :param table: request table; ended requests are removed from it.
    :param upstream: the searcher's state.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    pool = upstream.pool
    queue = upstream.queue
    while queue.count and pool.idle and upstream.in_flight < upstream.allowed:
        job = queue.first()
        left_ms = job.due_ms - now_ms - upstream.policy.upstream_margin_ms
        if left_ms <= 0:
            fail(table, job, SubCode.DEADLINE, 0, now_ms, effects)
            continue
        queue.pop()
        _send(upstream, job, left_ms, now_ms, effects)
    _open_missing(upstream, now_ms, effects)


def refresh_and_send(
    table: RequestTable, upstream: Upstream, now_ms: int, effects: list[Any]
) -> None:
    """Update a searcher's concurrency limit after an event, then send or fail queued requests.

    :param table: request table; ended requests are removed from it.
    :param upstream: the searcher's state.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    upstream.refresh(now_ms)
    if not upstream.owned:
        return
    if upstream.drain.draining:
        fail_queue(table, upstream, SubCode.DRAINING, 0, now_ms, effects)
        upstream.pool.retire_all(effects)
        return
    send_queued(table, upstream, now_ms, effects)


def refuse_late_requests(
    table: RequestTable, upstream: Upstream, now_ms: int, effects: list[Any]
) -> None:
    """Refuse queued requests that can no longer meet their deadline, while a replica still might.

    :param table: request table; ended requests are removed from it.
    :param upstream: the searcher's state.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    if not upstream.queue.count:
        return
    turn_ms = upstream.service_ms / max(1, upstream.allowed)
    start_ms = max(now_ms, upstream.limit.paused_until_ms)
    for job in upstream.queue.in_order():
        late_ms = ceil(start_ms + turn_ms - job.due_ms)
        if late_ms <= 0:
            start_ms += turn_ms
            continue
        retry_after_ms = max(upstream.policy.least_retry_after_ms, late_ms)
        fail(table, job, SubCode.QUEUE_FULL, retry_after_ms, now_ms, effects)


def _open_missing(upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
    free_slots = max(0, upstream.allowed - upstream.in_flight)
    upstream.pool.open_missing(min(free_slots, upstream.queue.count), now_ms, effects)


def _send(upstream: Upstream, job: Job, left_ms: int, now_ms: int, effects: list[Any]) -> None:
    conn = upstream.pool.assign(job).conn
    job.state = Job.SENT
    job.sent_ms = now_ms
    upstream.in_flight += 1
    body = b"%b%d%b" % (job.head, left_ms, job.tail)
    effect = SendSearch if job.call else SendRun
    effects.append(effect(conn, body, job.due_ms - now_ms))
