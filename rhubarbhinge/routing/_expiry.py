"""Expiry of requests and of connection attempts."""

from typing import Any

from rhubarbhinge.routing._completion import cancel_effect, fail
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.wire import SubCode


def expire(
    table: RequestTable,
    deadlines: Deadlines,
    item: Job | Connection,
    now_ms: int,
    effects: list[Any],
) -> None:
    """End a request whose deadline has passed, or abort a connection attempt.

    A request that was sent keeps its slot and connection for ``late_answer_ms``; then the
    connection is closed.

    :param table: request table; ended requests are removed from it.
    :param deadlines: deadline queue that the late-response timeout is added to.
    :param item: the request or connection.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    if isinstance(item, Connection):
        if not item.open:
            item.upstream.pool.close(item, effects)
        return
    if item.state == Job.SENT:
        _time_out(item, now_ms, effects)
    if item.state != Job.DONE:
        fail(table, item, SubCode.DEADLINE, 0, now_ms, effects)
    if item.connection is not None:
        _close_when_late(deadlines, item, now_ms, effects)


def _time_out(job: Job, now_ms: int, effects: list[Any]) -> None:
    job.upstream.observe_timeout(now_ms - job.sent_ms, now_ms)
    if not job.is_run:
        effects.append(cancel_effect(job))


def _close_when_late(deadlines: Deadlines, job: Job, now_ms: int, effects: list[Any]) -> None:
    late_ms = job.due_ms + job.upstream.policy.late_answer_ms
    if now_ms >= late_ms:
        job.upstream.pool.close(job.connection, effects)
        return
    job.connection.retired = True
    deadlines.bucket(late_ms).append(job)
