"""Ends of requests: each gets one outcome, or none when its peer gave it up."""

from typing import Any

from rhubarbhinge.routing._cancelupstream import CancelUpstream
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._reply import Reply
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._runkind import RunKind
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

    :param table: where the request is forgotten.
    :param job: the sub-query, queued or sent.
    :param code: a :class:`rhubarbhinge.wire.SubCode` value.
    :param retry_after_ms: when to come back, for refusals; else 0.
    :param body: the searcher's answer, or empty.
    :param now_ms: the time.
    :param effects: where effects are put.
    """
    sent_ms = job.sent_ms
    if job.state == Job.QUEUED:
        job.upstream.queue.discard(job)
        sent_ms = now_ms
    job.state = Job.DONE
    table.end(job)
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
    kind: RunKind,
    retry_after_ms: int,
    body: bytes,
    effects: list[Any],
) -> None:
    """End a run with a result.

    :param table: where the request is forgotten.
    :param job: the run, queued or sent.
    :param kind: how it ended.
    :param retry_after_ms: when to come back, for refusals; else 0.
    :param body: the searcher's answer, or empty.
    :param effects: where effects are put.
    """
    if job.state == Job.QUEUED:
        job.upstream.queue.discard(job)
    job.state = Job.DONE
    table.end(job)
    if kind is RunKind.REFUSED_NOT_RUN:
        table.forget_ticket(job.key)
    effects.append(RunResult(job.peer, job.key, kind, body, retry_after_ms))


def fail(
    table: RequestTable,
    job: Job,
    code: SubCode,
    retry_after_ms: int,
    now_ms: int,
    effects: list[Any],
) -> None:
    """End a request that got no answer: a run that was sent is unknown, a queued one not run.

    :param table: where the request is forgotten.
    :param job: the request, queued or sent.
    :param code: what a sub-query is answered.
    :param retry_after_ms: when to come back, for refusals; else 0.
    :param now_ms: the time.
    :param effects: where effects are put.
    """
    if not job.is_run:
        finish_search(table, job, int(code), retry_after_ms, b"", now_ms, effects)
        return
    kind = RunKind.UNKNOWN if job.state == Job.SENT else RunKind.REFUSED_NOT_RUN
    finish_run(table, job, kind, retry_after_ms, b"", effects)


def fail_queue(
    table: RequestTable,
    upstream: Upstream,
    code: SubCode,
    retry_after_ms: int,
    now_ms: int,
    effects: list[Any],
) -> None:
    """End all that waits for a searcher.

    :param table: where the requests are forgotten.
    :param upstream: the searcher's state.
    :param code: what sub-queries are answered.
    :param retry_after_ms: when to come back.
    :param now_ms: the time.
    :param effects: where effects are put.
    """
    for job in upstream.queue.in_order():
        fail(table, job, code, retry_after_ms, now_ms, effects)


def abandon(table: RequestTable, job: Job, effects: list[Any]) -> None:
    """End a request whose entry has no link; a run that was sent goes on and has a result.

    :param table: where the request is forgotten.
    :param job: the request, queued or sent.
    :param effects: where effects are put.
    """
    table.end(job)
    if job.state == Job.QUEUED:
        job.upstream.queue.discard(job)
        if job.is_run:
            table.forget_ticket(job.key)
    elif not job.is_run:
        job.state = Job.DONE
        effects.append(cancel_effect(job))


def cancel_effect(job: Job) -> CancelUpstream:
    """Make the effect that cancels a search at its searcher.

    :param job: the sub-query, sent.
    :returns: the effect.
    """
    spec = job.upstream.spec
    return CancelUpstream(spec.upstream_id, job.call.decode(), spec.ip, spec.port)
