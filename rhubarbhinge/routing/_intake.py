"""Accepts or refuses requests from entries."""

from typing import Any

from rhubarbhinge.routing._admission import check_admission
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._refusal import Refusal
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._reply import Reply
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._runoutcome import RunOutcome
from rhubarbhinge.routing._runresult import RunResult
from rhubarbhinge.routing._sending import send_or_queue
from rhubarbhinge.routing._sweeps import Sweeps
from rhubarbhinge.routing._upstreamtable import UpstreamTable
from rhubarbhinge.wire import SubBatch, SubCode

#: Ranks runs ahead of searches; the weights of all search classes are far lower.
RUN_WEIGHT = 1 << 62


class Intake:
    """Creates requests from entries' messages, and assigns call identifiers to searches.

    :param incarnation: the relay's incarnation, used as the prefix of call identifiers.
    :param policy: relay settings.
    :param requests: all unfinished requests of the relay.
    :param deadlines: deadline queue of the relay.
    :param upstreams: table of searchers.
    :param sweeps: sweep schedule; new work brings the next sweep forward.
    """

    def __init__(
        self,
        incarnation: int,
        policy: RelayPolicy,
        requests: RequestTable,
        deadlines: Deadlines,
        upstreams: UpstreamTable,
        sweeps: Sweeps,
    ) -> None:
        self._policy = policy
        self._requests = requests
        self._deadlines = deadlines
        self._upstreams = upstreams
        self._sweeps = sweeps
        self._sequence = 0
        self._tail_format = b',"lo":%%d,"hi":%%d,"call":"%d.%%d"}' % incarnation
        self._call_format = b"%d.%%d" % incarnation

    def batch(self, peer: str, batch: SubBatch, head: bytes, now_ms: int) -> list[Any]:
        """Accept or refuse sub-queries that are addressed to this relay.

        :param peer: the entry's link.
        :param batch: the message, with columns of equal length.
        :param head: common start of the request bodies.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        self._sweeps.request_sweep(now_ms)
        effects: list[Any] = []
        call_id = batch.call_id
        weight = batch.weight
        due_ms = self._due_ms(batch.deadline_ms, now_ms)
        due = self._deadlines.bucket(due_ms)
        jobs = self._requests.get_or_create_for_peer(peer)
        tail_format = self._tail_format
        call_format = self._call_format
        upstreams = self._upstreams.by_id
        rows = zip(
            batch.parts, batch.attempts, batch.upstream_ids, batch.los, batch.his, strict=True
        )
        for part, attempt, upstream_id, lo, hi in rows:
            key = (call_id, part, attempt)
            if key in jobs:
                continue
            upstream = upstreams.get(upstream_id)
            refused = check_admission(upstream, weight, due_ms, now_ms)
            if refused is not None:
                effects.append(_refusal_reply(peer, key, refused))
                continue
            self._sequence = sequence = self._sequence + 1
            call = call_format % sequence
            tail = tail_format % (lo, hi, sequence)
            job = Job(peer, key, upstream, weight, now_ms, due_ms, call, head, tail)
            jobs[key] = job
            due.append(job)
            send_or_queue(upstream, job, now_ms, effects)
        return effects

    def run(
        self,
        peer: str,
        ticket: str,
        upstream_id: int,
        parts: tuple[bytes, bytes],
        deadline_ms: int,
        now_ms: int,
    ) -> list[Any]:
        """Accept or refuse a run with a new ticket.

        :param peer: the entry's link.
        :param ticket: its ticket.
        :param upstream_id: the searcher.
        :param parts: request body before and after the deadline value.
        :param deadline_ms: time left when the message was created.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        upstream = self._upstreams.by_id.get(upstream_id)
        due_ms = self._due_ms(deadline_ms, now_ms)
        refused = check_admission(upstream, RUN_WEIGHT, due_ms, now_ms)
        if refused is not None:
            retry_after_ms = refused.retry_after_ms
            return [RunResult(peer, ticket, RunOutcome.REFUSED_NOT_RUN, b"", retry_after_ms)]
        head, tail = parts
        job = Job(peer, ticket, upstream, RUN_WEIGHT, now_ms, due_ms, b"", head, tail)
        self._requests.record_ticket(ticket, now_ms)
        self._requests.get_or_create_for_peer(peer)[ticket] = job
        self._deadlines.bucket(due_ms).append(job)
        effects: list[Any] = []
        send_or_queue(upstream, job, now_ms, effects)
        self._sweeps.request_sweep(now_ms)
        return effects

    def _due_ms(self, deadline_ms: int, now_ms: int) -> int:
        left_ms = min(deadline_ms, self._policy.most_deadline_ms)
        return now_ms + left_ms - self._policy.reply_margin_ms


def refuse_wrong_receiver(peer: str, batch: SubBatch) -> list[Any]:
    """Refuse sub-queries addressed to another relay, or to another incarnation of this one.

    :param peer: the entry's link.
    :param batch: the message.
    :returns: effects to carry out.
    """
    refused = Refusal(int(SubCode.WRONG_RECEIVER))
    return [
        _refusal_reply(peer, (batch.call_id, part, attempt), refused)
        for part, attempt in zip(batch.parts, batch.attempts, strict=True)
    ]


def _refusal_reply(peer: str, key: tuple[int, int, int], refused: Refusal) -> Reply:
    call_id, part, attempt = key
    return Reply(peer, call_id, part, attempt, refused.code, refused.retry_after_ms, 0, 0, b"")
