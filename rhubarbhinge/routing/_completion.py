"""Completion of requests: each gets one outcome, or none if its peer cancelled it."""

from typing import Any

from rhubarbhinge.routing._cancelupstream import CancelUpstream
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._reply import Reply
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._runoutcome import RunOutcome
from rhubarbhinge.routing._runresult import RunResult
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.wire import SubCode


def finish_search(
    table: RequestTable,
    job: Job,
    code: int,
    retry_after_ms: int,
    body: bytes,
    now_ms: int,
    effects: list[Any],
) -> None:
    """End a sub-query with a reply.

    :param table: request table; the request is removed from it.
    :param job: the sub-query, queued or sent.
    :param code: a :class:`rhubarbhinge.wire.SubCode` value.
    :param retry_after_ms: retry-after in ms for refusals, otherwise 0.
    :param body: response body of the searcher, or empty.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    sent_ms = job.sent_ms
    if job.state == Job.QUEUED:
        job.upstream.queue.discard(job)
        sent_ms = now_ms
    job.state = Job.DONE
    table.remove(job)
    call_id, part, attempt = job.key
    queue_ms = sent_ms - job.queued_ms
    service_ms = now_ms - sent_ms
    effects.append(
        Reply(
            job.peer,
            call_id,
            part,
            attempt,
            code,
            retry_after_ms,
            queue_ms,
            service_ms,
            body,
        )
    )


def finish_run(
    table: RequestTable,
    job: Job,
    kind: RunOutcome,
    retry_after_ms: int,
    body: bytes,
    effects: list[Any],
) -> None:
    """End a run with a result.

    :param table: request table; the request is removed from it.
    :param job: the run, queued or sent.
    :param kind: outcome of the run.
    :param retry_after_ms: retry-after in ms for refusals, otherwise 0.
    :param body: response body of the searcher, or empty.
    :param effects: list that effects are appended to.
    """
    if job.state == Job.QUEUED:
        job.upstream.queue.discard(job)
    job.state = Job.DONE
    table.remove(job)
    if kind is RunOutcome.REFUSED_NOT_RUN:
        table.remove_ticket(job.key)
    effects.append(RunResult(job.peer, job.key, kind, body, retry_after_ms))


def fail(
    table: RequestTable,
    job: Job,
    code: SubCode,
    retry_after_ms: int,
    now_ms: int,
    effects: list[Any],
) -> None:
    """End a request without a response: a sent run's outcome is unknown, a queued one was not run.

    :param table: request table; the request is removed from it.
    :param job: the request, queued or sent.
    :param code: reply code for a sub-query.
    :param retry_after_ms: retry-after in ms for refusals, otherwise 0.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    if not job.is_run:
        finish_search(table, job, int(code), retry_after_ms, b"", now_ms, effects)
        return
    kind = RunOutcome.UNKNOWN if job.state == Job.SENT else RunOutcome.REFUSED_NOT_RUN
    finish_run(table, job, kind, retry_after_ms, b"", effects)


def fail_queue(
    table: RequestTable,
    upstream: Upstream,
    code: SubCode,
    retry_after_ms: int,
    now_ms: int,
    effects: list[Any],
) -> None:
    """Fail all requests in a searcher's queue.

    :param table: request table; the requests are removed from it.
    :param upstream: the searcher's state.
    :param code: reply code for sub-queries.
    :param retry_after_ms: retry-after in ms.
    :param now_ms: current time in ms.
    :param effects: list that effects are appended to.
    """
    for job in upstream.queue.in_order():
        fail(table, job, code, retry_after_ms, now_ms, effects)


def cancel_request(table: RequestTable, job: Job, effects: list[Any]) -> None:
    """Cancel a request that its entry no longer awaits; a sent run continues and has a result.

    :param table: request table; the request is removed from it.
    :param job: the request, queued or sent.
    :param effects: list that effects are appended to.
    """
    table.remove(job)
    if job.state == Job.QUEUED:
        job.upstream.queue.discard(job)
        if job.is_run:
            table.remove_ticket(job.key)
    elif not job.is_run:
        job.state = Job.DONE
        effects.append(cancel_effect(job))


def cancel_effect(job: Job) -> CancelUpstream:
    """Create the effect that cancels a search at its searcher.

    :param job: the sub-query, sent.
    :returns: the effect.
    """
    spec = job.upstream.spec
    return CancelUpstream(spec.upstream_id, job.call.decode(), spec.ip, spec.port)
