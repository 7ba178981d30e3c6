"""The relay's decisions: one queue in front of each searcher that it owns."""

from dataclasses import replace
from math import ceil
from random import Random
from typing import Any

from rhubarbhinge.routing._answerreading import read_run, read_search
from rhubarbhinge.routing._answers import says_draining
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._connectiontable import ConnectionTable
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._drainmemory import DrainMemory
from rhubarbhinge.routing._droppeer import DropPeer
from rhubarbhinge.routing._expiry import expire
from rhubarbhinge.routing._healthdoc import HealthDoc, health_doc
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._pollhealth import PollHealth
from rhubarbhinge.routing._publishholding import PublishHolding
from rhubarbhinge.routing._publishload import PublishLoad
from rhubarbhinge.routing._refusal import Refusal
from rhubarbhinge.routing._refusals import refusal
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._reply import Reply
from rhubarbhinge.routing._requestbodies import run_parts, search_head
from rhubarbhinge.routing._requestends import abandon, fail, fail_queue
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._runkind import RunKind
from rhubarbhinge.routing._runresult import RunResult
from rhubarbhinge.routing._sending import (
    after_event,
    refuse_hopeless,
    send_or_queue,
    send_queued,
)
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.routing._upstreamspec import UpstreamSpec
from rhubarbhinge.wire import CancelBatch, HoldingReport, SubBatch, SubCode, UpstreamReport

#: Runs go before searches of any class; the weights of classes are far below.
RUN_WEIGHT = 1 << 62

_SENT = Job.SENT
_DONE = Job.DONE


class RelayCore:
    """Queues, slots, connections and drain of the searchers that one relay owns.

    Each input returns the effects that the shell carries out, in order. A connection counts
    against its searcher's cap, and a request against its slots, until the shell calls
    :meth:`on_connection_closed` (it does so once for each connection, also after its own close).

    :param incarnation: this relay's random life number.
    :param settings: settings.
    :param rng: random source, for jitter.
    """

    def __init__(self, incarnation: int, settings: RelayPolicy, rng: Random) -> None:
        self._incarnation = incarnation
        self._policy = settings
        self._rng = rng
        self._revision = -1
        self._leaving: frozenset[int] = frozenset()
        self._drains = DrainMemory()
        self._upstreams: dict[int, Upstream] = {}
        self._connections = ConnectionTable()
        self._requests = RequestTable(settings.ticket_memory_ms)
        self._deadlines = Deadlines()
        self._sweep_at_ms = 0
        self._report_at_ms = 0
        self._repeat_at_ms = 0
        self._last_report: UpstreamReport | None = None
        self._sequence = 0
        self._tail_format = b',"lo":%%d,"hi":%%d,"call":"%d.%%d"}' % incarnation
        self._call_format = b"%d.%%d" % incarnation

    @property
    def register_revision(self) -> int:
        """The register revision in force, -1 before the first."""
        return self._revision

    def is_idle(self) -> bool:
        """Tell whether no entry waits for anything, so that the relay may stop.

        :returns: True when there is no request.
        """
        return self._requests.is_idle()

    def set_upstreams(
        self, register_revision: int, owned: tuple[UpstreamSpec, ...], now_ms: int
    ) -> list[Any]:
        """Take the searchers that this relay owns; an older register revision is ignored.

        With none, the relay hands over: it answers its queues, lets what is in flight end, and
        closes its connections.

        :param register_revision: the register that they come from.
        :param owned: the searchers.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        if register_revision < self._revision:
            return effects
        self._revision = register_revision
        kept = {spec.upstream_id for spec in owned}
        for upstream_id, upstream in list(self._upstreams.items()):
            if upstream.owned and upstream_id not in kept:
                self._disown(upstream, now_ms, effects)
        for spec in owned:
            self._own(spec, now_ms, effects)
        return effects

    def set_leaving(self, upstream_ids: frozenset[int], now_ms: int) -> list[Any]:
        """Take the searchers whose VMs the platform's list calls leaving.

        :param upstream_ids: all of them, owned or not.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        self._leaving = upstream_ids
        for upstream_id, upstream in self._upstreams.items():
            upstream.drain.on_vm_list(upstream_id in upstream_ids)
            after_event(self._requests, upstream, now_ms, effects)
        return effects

    def on_batch(self, peer: str, batch: SubBatch, now_ms: int) -> list[Any]:
        """Take sub-queries.

        :param peer: the entry's link.
        :param batch: the message, from anyone who holds the deployment key.
        :param now_ms: the time.
        :returns: effects.
        """
        columns = (batch.parts, batch.attempts, batch.upstream_ids, batch.los, batch.his)
        head = search_head(batch)
        if head is None or not _same_length(columns):
            return [DropPeer(peer, "malformed")]
        if batch.receiver_incarnation != self._incarnation:
            return _wrong_receiver(peer, batch)
        return self._take_batch(peer, batch, head, now_ms)

    def _take_batch(self, peer: str, batch: SubBatch, head: bytes, now_ms: int) -> list[Any]:
        self._sweep_soon(now_ms)
        effects: list[Any] = []
        call_id = batch.call_id
        weight = batch.weight
        due_ms = self._due_ms(batch.deadline_ms, now_ms)
        due = self._deadlines.bucket(due_ms)
        jobs = self._requests.of_live_peer(peer)
        tail_format = self._tail_format
        call_format = self._call_format
        upstreams = self._upstreams
        rows = zip(
            batch.parts, batch.attempts, batch.upstream_ids, batch.los, batch.his, strict=True
        )
        for part, attempt, upstream_id, lo, hi in rows:
            key = (call_id, part, attempt)
            if key in jobs:
                continue
            upstream = upstreams.get(upstream_id)
            refused = refusal(upstream, weight, due_ms, now_ms)
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

    def on_run(
        self,
        peer: str,
        ticket: str,
        upstream_id: int,
        action: str,
        body: bytes,
        deadline_ms: int,
        now_ms: int,
    ) -> list[Any]:
        """Take a request that must not repeat; it is sent once at most.

        :param peer: the entry's link.
        :param ticket: its ticket; one that may have been sent before is not sent again.
        :param upstream_id: the searcher.
        :param action: what to run.
        :param body: the caller's JSON object.
        :param deadline_ms: time left when the message was made.
        :param now_ms: the time.
        :returns: effects.
        """
        if self._requests.knows_ticket(ticket):
            return [RunResult(peer, ticket, RunKind.UNKNOWN, b"", 0)]
        upstream = self._upstreams.get(upstream_id)
        parts = run_parts(ticket, action, body)
        if parts is None:
            return [RunResult(peer, ticket, RunKind.REFUSED_NOT_RUN, b"", 0)]
        due_ms = self._due_ms(deadline_ms, now_ms)
        refused = refusal(upstream, RUN_WEIGHT, due_ms, now_ms)
        if refused is not None:
            retry_after_ms = refused.retry_after_ms
            return [RunResult(peer, ticket, RunKind.REFUSED_NOT_RUN, b"", retry_after_ms)]
        head, tail = parts
        job = Job(peer, ticket, upstream, RUN_WEIGHT, now_ms, due_ms, b"", head, tail)
        self._requests.remember_ticket(ticket, now_ms)
        self._requests.of_live_peer(peer)[ticket] = job
        self._deadlines.bucket(due_ms).append(job)
        effects: list[Any] = []
        send_or_queue(upstream, job, now_ms, effects)
        self._sweep_soon(now_ms)
        return effects

    def on_cancel(self, peer: str, batch: CancelBatch, now_ms: int) -> list[Any]:
        """Give up sub-queries; those in flight keep their slot until they end.

        :param peer: the entry's link.
        :param batch: the sub-queries.
        :param now_ms: the time.
        :returns: effects.
        """
        columns = (batch.call_ids, batch.parts, batch.attempts)
        if not _same_length(columns):
            return [DropPeer(peer, "malformed")]
        effects: list[Any] = []
        jobs = self._requests.of_peer(peer, {})
        for key in zip(*columns, strict=True):
            job = jobs.get(key)
            if job is not None:
                abandon(self._requests, job, effects)
        return effects

    def on_peer_gone(self, peer: str, now_ms: int) -> list[Any]:
        """Give up all that an entry waits for; runs in flight are left to end.

        :param peer: the entry's link.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        for job in list(self._requests.of_peer(peer, {}).values()):
            abandon(self._requests, job, effects)
        self._requests.drop_peer(peer)
        return effects

    def on_connected(self, conn: int, now_ms: int) -> list[Any]:
        """Note that a connection is open.

        :param conn: the connection.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        connection = self._connections.get(conn)
        if connection is None or connection.open or connection.closing:
            return effects
        connection.upstream.pool.opened(connection, effects)
        after_event(self._requests, connection.upstream, now_ms, effects)
        return effects

    def on_connection_closed(self, conn: int, now_ms: int) -> list[Any]:
        """Note that a connection is closed, failed to open, or was refused.

        :param conn: the connection.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        connection = self._connections.pop(conn)
        if connection is None:
            return effects
        upstream = connection.upstream
        upstream.pool.closed(connection, now_ms)
        job = connection.job
        if job is not None:
            upstream.in_flight -= 1
            job.connection = None
            if job.state == _SENT:
                upstream.failures += 1
                fail(self._requests, job, SubCode.LOST, 0, now_ms, effects)
        wait_ms = upstream.pool.refused_wait_ms(now_ms)
        if wait_ms is not None:
            fail_queue(self._requests, upstream, SubCode.LOST, wait_ms, now_ms, effects)
        after_event(self._requests, upstream, now_ms, effects)
        self._forget_if_gone(upstream)
        return effects

    def on_reply(
        self, conn: int, status: int, draining_header: bool, body: bytes, now_ms: int
    ) -> list[Any]:
        """Take a searcher's whole answer.

        :param conn: the connection.
        :param status: HTTP status.
        :param draining_header: whether the answer carried ``Draining: 1``.
        :param body: the answer's body.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        connection = self._connections.get(conn)
        if connection is None or connection.closing:
            return effects
        upstream = connection.upstream
        job = connection.job
        if job is None:
            upstream.pool.close(connection, effects)
            return effects
        connection.job = None
        job.connection = None
        upstream.in_flight -= 1
        upstream.last_answer_ms = now_ms
        upstream.pool.served(connection)
        if draining_header or says_draining(status, body):
            self._note_drain(connection)
        read = read_search if job.call else read_run
        plain = read(self._requests, job, connection, status, body, now_ms, effects)
        upstream.pool.release(connection, effects)
        if not plain or upstream.drain.draining:
            after_event(self._requests, upstream, now_ms, effects)
        elif upstream.queue.count:
            send_queued(self._requests, upstream, now_ms, effects)
        return effects

    def on_health(
        self,
        upstream_id: int,
        doc: dict[str, Any] | None,
        now_ms: int,
        draining_header: bool = False,
    ) -> list[Any]:
        """Take the answer to a health poll; one of an older incarnation is ignored.

        :param upstream_id: the searcher.
        :param doc: the parsed document, or None when there was none.
        :param now_ms: the time.
        :param draining_header: whether the answer carried ``Draining: 1``.
        :returns: effects.
        """
        effects: list[Any] = []
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or not upstream.owned:
            return effects
        health = health_doc(upstream_id, upstream.spec.name, doc)
        if health is None:
            upstream.health_failures += 1
        elif upstream.incarnation is None or health.incarnation >= upstream.incarnation:
            self._take_health(upstream, health, draining_header, now_ms, effects)
        after_event(self._requests, upstream, now_ms, effects)
        return effects

    def tick(self, now_ms: int) -> list[Any]:
        """Do what is due: expiry, ramps, connections, health polls and reports.

        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        for item in self._deadlines.pop_due(now_ms):
            if type(item) is Connection or item.state != _DONE or item.connection is not None:
                expire(self._requests, self._deadlines, item, now_ms, effects)
        if now_ms >= self._sweep_at_ms:
            self._sweep(now_ms, effects)
            self._sweep_at_ms = now_ms + self._sweep_period_ms(now_ms)
        if now_ms >= self._report_at_ms:
            self._report_at_ms = now_ms + self._policy.report_period_ms
            self._publish(now_ms, effects)
            self._requests.forget_old_tickets(now_ms)
        return effects

    def _publish(self, now_ms: int, effects: list[Any]) -> None:
        report = self.reports(now_ms)
        unchanged = replace(report, relay_now_ms=0)
        if unchanged == self._last_report and now_ms < self._repeat_at_ms:
            return
        self._last_report = unchanged
        self._repeat_at_ms = now_ms + self._policy.report_repeat_ms
        effects.append(PublishLoad(report))

    def next_wake_ms(self) -> int:
        """Give the time at which :meth:`tick` has something to do.

        :returns: the time in ms.
        """
        due_ms = self._deadlines.next_ms()
        wake_ms = min(self._sweep_at_ms, self._report_at_ms)
        return wake_ms if due_ms is None else min(wake_ms, due_ms)

    def reports(self, now_ms: int) -> UpstreamReport:
        """Give the load of all owned searchers.

        :param now_ms: the time.
        :returns: the report.
        """
        owned = self._owned()
        return UpstreamReport(
            tuple(upstream.spec.upstream_id for upstream in owned),
            tuple(int(upstream.state(now_ms)) for upstream in owned),
            tuple(upstream.queue.count for upstream in owned),
            tuple(upstream.in_flight for upstream in owned),
            tuple(upstream.allowed for upstream in owned),
            int(now_ms),
        )

    def open_work(self) -> int:
        """Count queued and in-flight requests, at searchers that were handed over too.

        :returns: their number.
        """
        return sum(
            upstream.queue.count + upstream.in_flight for upstream in self._upstreams.values()
        )

    def holdings(self) -> tuple[HoldingReport, ...]:
        """Give what all owned searchers hold, for an entry that has just linked.

        :returns: the latest report of each searcher that was heard from.
        """
        found = (upstream.holding for upstream in self._owned())
        return tuple(holding for holding in found if holding is not None)

    def _owned(self) -> list[Upstream]:
        return [upstream for upstream in self._upstreams.values() if upstream.owned]

    def _own(self, spec: UpstreamSpec, now_ms: int, effects: list[Any]) -> None:
        upstream = self._upstreams.get(spec.upstream_id)
        if upstream is None:
            upstream = Upstream(spec, self._policy, self._connections, self._deadlines, now_ms)
            upstream.drain, upstream.incarnation = self._drains.take(spec.upstream_id)
            upstream.drain.on_vm_list(spec.upstream_id in self._leaving)
            self._upstreams[spec.upstream_id] = upstream
        upstream.owned = True
        upstream.set_spec(spec, effects)
        upstream.drain.on_register(spec.leaving, self._revision)
        after_event(self._requests, upstream, now_ms, effects)

    def _disown(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        upstream.owned = False
        upstream.refresh(now_ms)
        fail_queue(self._requests, upstream, SubCode.WRONG_RECEIVER, 0, now_ms, effects)
        upstream.pool.retire_all(effects)
        self._forget_if_gone(upstream)

    def _take_health(
        self,
        upstream: Upstream,
        health: HealthDoc,
        draining_header: bool,
        now_ms: int,
        effects: list[Any],
    ) -> None:
        if upstream.take_health(health, now_ms, effects):
            effects.append(PublishHolding(health.holding))
        if draining_header:
            upstream.drain.on_signal()

    def _note_drain(self, connection: Connection) -> None:
        if connection.opened_ms >= connection.upstream.started_ms:
            connection.upstream.drain.on_signal()

    def _forget_if_gone(self, upstream: Upstream) -> None:
        if not upstream.owned and not len(upstream.pool):
            upstream_id = upstream.spec.upstream_id
            self._drains.keep(upstream_id, upstream.drain, upstream.incarnation)
            del self._upstreams[upstream_id]

    def _due_ms(self, deadline_ms: int, now_ms: int) -> int:
        left_ms = min(deadline_ms, self._policy.most_deadline_ms)
        return now_ms + left_ms - self._policy.reply_margin_ms

    def _sweep_period_ms(self, now_ms: int) -> int:
        settled = all(upstream.is_settled(now_ms) for upstream in self._owned())
        if settled and self.is_idle():
            return self._policy.idle_sweep_period_ms
        return self._policy.sweep_period_ms

    def _sweep_soon(self, now_ms: int) -> None:
        self._sweep_at_ms = min(self._sweep_at_ms, now_ms + self._policy.sweep_period_ms)

    def _sweep(self, now_ms: int, effects: list[Any]) -> None:
        for upstream in self._owned():
            if now_ms >= upstream.health_at_ms:
                self._poll_health(upstream, now_ms, effects)
            after_event(self._requests, upstream, now_ms, effects)
            refuse_hopeless(self._requests, upstream, now_ms, effects)

    def _poll_health(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        jitter = 0.5 + self._rng.random()
        upstream.health_at_ms = now_ms + ceil(self._policy.health_period_ms * jitter)
        spec = upstream.spec
        effects.append(PollHealth(spec.upstream_id, spec.ip, spec.port))


def _same_length(columns: tuple[tuple[Any, ...], ...]) -> bool:
    return len({len(column) for column in columns}) == 1


def _wrong_receiver(peer: str, batch: SubBatch) -> list[Any]:
    refused = Refusal(int(SubCode.WRONG_RECEIVER))
    return [
        _refusal_reply(peer, (batch.call_id, part, attempt), refused)
        for part, attempt in zip(batch.parts, batch.attempts, strict=True)
    ]


def _refusal_reply(peer: str, key: tuple[int, int, int], refused: Refusal) -> Reply:
    call_id, part, attempt = key
    return Reply(peer, call_id, part, attempt, refused.code, refused.retry_after_ms, 0, 0, b"")
