"""Handling of searcher responses: ends the request and updates the searcher's state."""

from typing import Any

from rhubarbhinge.routing._completion import finish_run, finish_search
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._responses import run_outcome, search_outcome
from rhubarbhinge.routing._runoutcome import RunOutcome
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.wire import SubCode

_SENT = Job.SENT
#: Plain integers, since comparing IntEnum members is several times slower.
_ANSWERED = int(SubCode.ANSWERED)
_SHED = int(SubCode.SHED)
_BROKEN = int(SubCode.BROKEN)


def handle_search_response(
    table: RequestTable,
    job: Job,
    connection: Connection,
    status: int,
    body: bytes,
    now_ms: int,
    effects: list[Any],
) -> bool:
    """Handle the response to a search; a late one only updates the searcher's state.

    :param table: request table; the request is removed from it.
    :param job: the sub-query.
    :param connection: the connection; retired if the response is invalid.
    :param status: HTTP status code.
    :param body: response body.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    :returns: whether the response leaves the searcher's concurrency limit unchanged.
    """
    upstream = job.upstream
    code, retry_after_ms = search_outcome(status, job.call, body)
    if code == _SHED:
        retry_after_ms = _apply_shed(upstream, job, retry_after_ms, now_ms)
    if job.state == _SENT:
        if code == _ANSWERED:
            upstream.observe_service(now_ms - job.sent_ms)
        reply_body = body if code == _ANSWERED else b""
        finish_search(table, job, code, retry_after_ms, reply_body, now_ms, effects)
    if code == _BROKEN:
        connection.retired = True
        upstream.failures += 1
        return False
    was_failing = upstream.failures > 0
    upstream.failures = 0
    if code == _SHED:
        return False
    upstream.limit.on_success()
    return not was_failing


def handle_run_response(
    table: RequestTable,
    job: Job,
    connection: Connection,
    status: int,
    body: bytes,
    now_ms: int,
    effects: list[Any],
) -> bool:
    """Handle the response to a run.

    :param table: request table; the request is removed from it.
    :param job: the run.
    :param connection: the connection; retired if the response is inconclusive.
    :param status: HTTP status code.
    :param body: response body.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    :returns: whether the response leaves the searcher's concurrency limit unchanged.
    """
    kind, retry_after_ms = run_outcome(status, job.key, body)
    if kind is RunOutcome.REFUSED_NOT_RUN:
        retry_after_ms = _apply_shed(job.upstream, job, retry_after_ms, now_ms)
    if kind is RunOutcome.UNKNOWN:
        connection.retired = True
    if job.state == _SENT:
        finish_run(table, job, kind, retry_after_ms, body, effects)
    return kind is RunOutcome.RAN


def _apply_shed(upstream: Upstream, job: Job, retry_after_ms: int, now_ms: int) -> int:
    upstream.limit.on_shed(retry_after_ms, job.sent_ms, now_ms)
    pause_ms = upstream.limit.paused_until_ms - now_ms
    return max(retry_after_ms, pause_ms, upstream.policy.least_retry_after_ms)
