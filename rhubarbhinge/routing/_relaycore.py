"""The relay's decisions: one queue in front of each searcher that it owns."""

import heapq
from math import ceil
from random import Random
from typing import Any

import orjson

from rhubarbhinge.routing._answers import run_outcome, says_draining, search_outcome
from rhubarbhinge.routing._cancelupstream import CancelUpstream
from rhubarbhinge.routing._closeconnection import CloseConnection
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._droppeer import DropPeer
from rhubarbhinge.routing._healthdoc import HealthDoc, health_doc
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._openconnection import OpenConnection
from rhubarbhinge.routing._pollhealth import PollHealth
from rhubarbhinge.routing._publishholding import PublishHolding
from rhubarbhinge.routing._publishload import PublishLoad
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._reply import Reply
from rhubarbhinge.routing._runkind import RunKind
from rhubarbhinge.routing._runresult import RunResult
from rhubarbhinge.routing._sendrun import SendRun
from rhubarbhinge.routing._sendsearch import SendSearch
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.routing._upstreamspec import UpstreamSpec
from rhubarbhinge.wire import CancelBatch, HoldingReport, SubBatch, SubCode, UpstreamReport

#: Runs go before searches of any class; weights of classes are far below.
RUN_WEIGHT = 1 << 62
#: Ended entries that a queue may hold before they are swept out.
SWEEP_SLACK = 64

_QUEUED, _SENT, _DONE = Job.QUEUED, Job.SENT, Job.DONE
_ANSWERED = int(SubCode.ANSWERED)


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
        self._upstreams: dict[int, Upstream] = {}
        self._connections: dict[int, Connection] = {}
        self._jobs: dict[str, dict[Any, Job]] = {}
        self._tickets: dict[str, int] = {}
        self._expiry: list[tuple[int, int, Any]] = []
        self._sequence = 0
        self._last_conn = 0
        self._report_at_ms = 0
        self._call_prefix = b"%d." % incarnation

    @property
    def register_revision(self) -> int:
        """The register revision in force, -1 before the first."""
        return self._revision

    # ---- what the relay owns

    def set_upstreams(
        self, register_revision: int, owned: tuple[UpstreamSpec, ...], now_ms: int
    ) -> list[Any]:
        """Take the searchers that this relay owns; an older register revision is ignored.

        :param register_revision: the register that they come from.
        :param owned: the searchers.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        if register_revision < self._revision:
            return effects
        newer = register_revision > self._revision
        self._revision = register_revision
        kept = {spec.upstream_id for spec in owned}
        for upstream in list(self._upstreams.values()):
            if upstream.owned and upstream.spec.upstream_id not in kept:
                self._disown(upstream, now_ms, effects)
        for spec in owned:
            self._own(spec, newer, now_ms, effects)
        return effects

    def set_leaving(self, upstream_ids: frozenset[int], now_ms: int) -> list[Any]:
        """Take the searchers whose VMs the platform's list calls leaving.

        :param upstream_ids: all of them, owned or not.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        for upstream_id, upstream in self._upstreams.items():
            upstream.drain.on_vm_list(upstream_id in upstream_ids)
            self._after_drain_signal(upstream, now_ms, effects)
        return effects

    # ---- entries

    def on_batch(self, peer: str, batch: SubBatch, now_ms: int) -> list[Any]:
        """Take sub-queries.

        :param peer: the entry's link.
        :param batch: the message, from anyone who holds the deployment key.
        :param now_ms: the time.
        :returns: effects.
        """
        count = len(batch.parts)
        columns = (batch.attempts, batch.upstream_ids, batch.los, batch.his)
        if any(len(column) != count for column in columns):
            return [DropPeer(peer, "malformed")]
        effects: list[Any] = []
        call_id = batch.call_id
        rows = zip(batch.parts, *columns, strict=True)
        if batch.receiver_incarnation != self._incarnation:
            for part, attempt, _, _, _ in rows:
                effects.append(_refusal(peer, call_id, part, attempt, SubCode.WRONG_RECEIVER))
            return effects
        head = _search_head(batch)
        due_ms = now_ms + batch.deadline_ms - self._policy.reply_margin_ms
        jobs = self._jobs.setdefault(peer, {})
        for part, attempt, upstream_id, lo, hi in rows:
            upstream = self._upstreams.get(upstream_id)
            if upstream is None or not upstream.owned:
                effects.append(_refusal(peer, call_id, part, attempt, SubCode.WRONG_RECEIVER))
                continue
            key = (call_id, part, attempt)
            if key in jobs:
                continue
            code, retry_after_ms = self._refuse(upstream, batch.weight, due_ms, now_ms)
            if code is not None:
                effects.append(_refusal(peer, call_id, part, attempt, code, retry_after_ms))
                continue
            job = Job(peer, key, due_ms, now_ms, batch.weight, head, (lo, hi), False, upstream)
            jobs[key] = job
            self._enqueue(upstream, job)
            self._dispatch(upstream, now_ms, effects)
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
        :param ticket: its ticket; one that was sent before is not sent again.
        :param upstream_id: the searcher.
        :param action: what to run.
        :param body: the caller's JSON.
        :param deadline_ms: time left when the message was made.
        :param now_ms: the time.
        :returns: effects.
        """
        if ticket in self._tickets:
            return [RunResult(peer, ticket, RunKind.UNKNOWN, b"", 0)]
        upstream = self._upstreams.get(upstream_id)
        parts = _run_parts(ticket, action, body)
        if upstream is None or not upstream.owned or parts is None:
            return [RunResult(peer, ticket, RunKind.REFUSED_NOT_RUN, b"", 0)]
        due_ms = now_ms + deadline_ms - self._policy.reply_margin_ms
        code, retry_after_ms = self._refuse(upstream, RUN_WEIGHT, due_ms, now_ms)
        if code is not None:
            return [RunResult(peer, ticket, RunKind.REFUSED_NOT_RUN, b"", retry_after_ms)]
        effects: list[Any] = []
        head, tail = parts
        job = Job(peer, ticket, due_ms, now_ms, RUN_WEIGHT, head, tail, True, upstream)
        self._tickets[ticket] = now_ms
        self._jobs.setdefault(peer, {})[ticket] = job
        self._enqueue(upstream, job)
        self._dispatch(upstream, now_ms, effects)
        return effects

    def on_cancel(self, peer: str, batch: CancelBatch, now_ms: int) -> list[Any]:
        """Give up sub-queries; those in flight keep their slot until they end.

        :param peer: the entry's link.
        :param batch: the sub-queries.
        :param now_ms: the time.
        :returns: effects.
        """
        columns = (batch.call_ids, batch.parts, batch.attempts)
        if len({len(column) for column in columns}) != 1:
            return [DropPeer(peer, "malformed")]
        effects: list[Any] = []
        jobs = self._jobs.get(peer, {})
        for key in zip(*columns, strict=True):
            job = jobs.get(key)
            if job is not None:
                self._abandon(job, effects)
        return effects

    def on_peer_gone(self, peer: str, now_ms: int) -> list[Any]:
        """Give up all that an entry waits for; runs in flight are left to end.

        :param peer: the entry's link.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        for job in list(self._jobs.get(peer, {}).values()):
            self._abandon(job, effects)
        self._jobs.pop(peer, None)
        return effects

    # ---- searchers

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
        upstream = connection.upstream
        connection.open = True
        upstream.opening -= 1
        self._release(connection, effects)
        self._dispatch(upstream, now_ms, effects)
        return effects

    def on_connection_closed(self, conn: int, now_ms: int) -> list[Any]:
        """Note that a connection is closed, failed to open, or was refused.

        :param conn: the connection.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        connection = self._connections.pop(conn, None)
        if connection is None:
            return effects
        upstream = connection.upstream
        del upstream.connections[conn]
        if connection in upstream.idle:
            upstream.idle.remove(connection)
        self._note_close(connection, now_ms)
        job = connection.job
        if job is not None:
            self._detach(connection)
            if job.state == _SENT:
                upstream.failures += 1
                self._finish(job, SubCode.BROKEN, 0, b"", now_ms, effects)
        if upstream.connect_failures and not upstream.connections:
            wait_ms = max(0, upstream.connect_not_before_ms - now_ms)
            self._answer_queue(upstream, SubCode.BROKEN, wait_ms, now_ms, effects)
        self._dispatch(upstream, now_ms, effects)
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
            self._close(connection, effects)
            return effects
        self._detach(connection)
        connection.served = True
        if draining_header or says_draining(status, body):
            upstream.drain.on_signal()
        whole = self._read_answer(job, status, body, now_ms, effects)
        if not whole:
            connection.retired = True
        self._release(connection, effects)
        self._after_drain_signal(upstream, now_ms, effects)
        self._dispatch(upstream, now_ms, effects)
        return effects

    def on_health(self, upstream_id: int, doc: dict[str, Any] | None, now_ms: int) -> list[Any]:
        """Take the answer to a health poll.

        :param upstream_id: the searcher.
        :param doc: the parsed document, or None when there was none.
        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or not upstream.owned:
            return effects
        health = health_doc(upstream_id, upstream.spec.name, doc)
        if health is None:
            upstream.health_failures += 1
            return effects
        if upstream.incarnation is not None and health.incarnation < upstream.incarnation:
            return effects
        self._take_health(upstream, health, now_ms, effects)
        self._after_drain_signal(upstream, now_ms, effects)
        self._dispatch(upstream, now_ms, effects)
        return effects

    # ---- time

    def tick(self, now_ms: int) -> list[Any]:
        """Do what is due: expiry, ramps, connections, health polls and reports.

        :param now_ms: the time.
        :returns: effects.
        """
        effects: list[Any] = []
        self._expire(now_ms, effects)
        for upstream in list(self._upstreams.values()):
            if upstream.owned and now_ms >= upstream.health_at_ms:
                self._poll_health(upstream, now_ms, effects)
            self._dispatch(upstream, now_ms, effects)
        if now_ms >= self._report_at_ms:
            self._report_at_ms = now_ms + self._policy.report_period_ms
            effects.append(PublishLoad(self.reports(now_ms)))
            self._forget_tickets(now_ms)
        return effects

    def next_wake_ms(self) -> int:
        """Give the time at which :meth:`tick` has something to do.

        :returns: the time in ms.
        """
        wake_ms = self._report_at_ms
        if self._expiry:
            wake_ms = min(wake_ms, self._expiry[0][0])
        for upstream in self._upstreams.values():
            wake_ms = min(wake_ms, upstream.health_at_ms)
            if upstream.queued:
                held_ms = max(upstream.limit.paused_until_ms, upstream.connect_not_before_ms)
                wake_ms = min(wake_ms, held_ms or wake_ms)
        return wake_ms

    def reports(self, now_ms: int) -> UpstreamReport:
        """Give the load of all owned searchers.

        :param now_ms: the time.
        :returns: the report.
        """
        owned = [upstream for upstream in self._upstreams.values() if upstream.owned]
        return UpstreamReport(
            tuple(upstream.spec.upstream_id for upstream in owned),
            tuple(int(upstream.state(now_ms)) for upstream in owned),
            tuple(upstream.queued for upstream in owned),
            tuple(upstream.in_flight for upstream in owned),
            tuple(upstream.allowed(now_ms) for upstream in owned),
        )

    def holdings(self) -> tuple[HoldingReport, ...]:
        """Give what all owned searchers hold, for an entry that has just linked.

        :returns: the latest report of each searcher that was heard from.
        """
        owned = [upstream for upstream in self._upstreams.values() if upstream.owned]
        return tuple(upstream.holding for upstream in owned if upstream.holding is not None)

    # ---- within: ownership and drain

    def _own(
        self, spec: UpstreamSpec, newer_revision: bool, now_ms: int, effects: list[Any]
    ) -> None:
        upstream = self._upstreams.get(spec.upstream_id)
        if upstream is None:
            upstream = Upstream(spec, self._policy, now_ms)
            upstream.health_at_ms = now_ms
            self._upstreams[spec.upstream_id] = upstream
        elif not upstream.owned:
            upstream.owned = True
            upstream.health_at_ms = now_ms
        old = upstream.spec
        upstream.set_spec(spec)
        upstream.limit.resize(upstream.slots)
        if (old.ip, old.port) != (spec.ip, spec.port):
            self._retire_connections(upstream, effects)
        if spec.leaving or newer_revision:
            upstream.drain.on_register(spec.leaving)
        self._after_drain_signal(upstream, now_ms, effects)
        self._dispatch(upstream, now_ms, effects)

    def _disown(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        upstream.owned = False
        self._answer_queue(upstream, SubCode.WRONG_RECEIVER, 0, now_ms, effects)
        self._retire_connections(upstream, effects)
        self._forget_if_gone(upstream)

    def _forget_if_gone(self, upstream: Upstream) -> None:
        if not upstream.owned and not upstream.connections:
            self._upstreams.pop(upstream.spec.upstream_id, None)

    def _after_drain_signal(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        if not upstream.drain.draining:
            return
        self._answer_queue(upstream, SubCode.DRAINING, 0, now_ms, effects)
        self._retire_connections(upstream, effects)

    def _retire_connections(self, upstream: Upstream, effects: list[Any]) -> None:
        for connection in list(upstream.connections.values()):
            connection.retired = True
            if connection.job is None and not connection.closing:
                self._close(connection, effects)

    # ---- within: queue

    def _refuse(
        self, upstream: Upstream, weight: int, due_ms: int, now_ms: int
    ) -> tuple[SubCode | None, int]:
        if upstream.drain.draining:
            return SubCode.DRAINING, 0
        left_ms = due_ms - now_ms - self._policy.upstream_margin_ms
        if left_ms <= 0:
            return SubCode.DEADLINE, 0
        if upstream.idle and not upstream.queued and upstream.in_flight < upstream.allowed(now_ms):
            return None, 0
        if upstream.connect_failures and not upstream.connections:
            wait_ms = upstream.connect_not_before_ms - now_ms
            return SubCode.BROKEN, max(self._policy.least_retry_after_ms, wait_ms)
        if not self._policy.early_refusal:
            return None, 0
        needed_ms = upstream.wait_ms(weight, now_ms)
        if upstream.queued:
            needed_ms += upstream.service_ms
        late_ms = ceil(needed_ms - left_ms)
        if upstream.queued >= self._policy.queue_limit:
            late_ms = max(late_ms, ceil(upstream.service_ms))
        if late_ms <= 0:
            return None, 0
        return SubCode.QUEUE_FULL, max(self._policy.least_retry_after_ms, late_ms)

    def _enqueue(self, upstream: Upstream, job: Job) -> None:
        self._sequence += 1
        heapq.heappush(upstream.heap, (-job.weight, job.due_ms, self._sequence, job))
        heapq.heappush(self._expiry, (job.due_ms, self._sequence, job))
        upstream.queued += 1
        counts = upstream.queued_by_weight
        counts[job.weight] = counts.get(job.weight, 0) + 1

    def _leave_queue(self, job: Job) -> None:
        upstream = job.upstream
        upstream.queued -= 1
        counts = upstream.queued_by_weight
        counts[job.weight] -= 1
        if not counts[job.weight]:
            del counts[job.weight]
        if len(upstream.heap) > 2 * upstream.queued + SWEEP_SLACK:
            upstream.heap = [entry for entry in upstream.heap if entry[3].state == _QUEUED]
            heapq.heapify(upstream.heap)

    def _answer_queue(
        self,
        upstream: Upstream,
        code: SubCode,
        retry_after_ms: int,
        now_ms: int,
        effects: list[Any],
    ) -> None:
        heap, upstream.heap = upstream.heap, []
        for _, _, _, job in sorted(heap, key=lambda entry: entry[:3]):
            if job.state == _QUEUED:
                self._finish(job, code, retry_after_ms, b"", now_ms, effects)

    def _dispatch(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        if not upstream.owned or upstream.drain.draining:
            return
        allowed = upstream.allowed(now_ms)
        while upstream.queued and upstream.idle and upstream.in_flight < allowed:
            job = heapq.heappop(upstream.heap)[3]
            if job.state == _QUEUED:
                self._send_or_expire(upstream, job, now_ms, effects)
        self._open_connections(upstream, allowed, now_ms, effects)

    def _send_or_expire(
        self, upstream: Upstream, job: Job, now_ms: int, effects: list[Any]
    ) -> None:
        left_ms = job.due_ms - now_ms - self._policy.upstream_margin_ms
        if left_ms <= 0:
            self._finish(job, SubCode.DEADLINE, 0, b"", now_ms, effects)
            return
        self._leave_queue(job)
        connection = upstream.idle.pop()
        connection.job = job
        job.connection = connection
        job.state = _SENT
        job.sent_ms = now_ms
        upstream.in_flight += 1
        timeout_ms = job.due_ms - now_ms
        if job.is_run:
            body = job.head + b'%d,"body":' % left_ms + job.tail + b"}"
            effects.append(SendRun(connection.conn, body, timeout_ms))
            return
        self._sequence += 1
        job.call = self._call_prefix + b"%d" % self._sequence
        lo, hi = job.tail
        body = job.head + b'%d,"lo":%d,"hi":%d,"call":"%b"}' % (left_ms, lo, hi, job.call)
        effects.append(SendSearch(connection.conn, body, timeout_ms))

    # ---- within: ends

    def _read_answer(
        self, job: Job, status: int, body: bytes, now_ms: int, effects: list[Any]
    ) -> bool:
        upstream = job.upstream
        upstream.last_answer_ms = now_ms
        upstream.connect_failures = 0
        if job.is_run:
            kind, retry_after_ms = run_outcome(status, job.key, body)
            if kind is RunKind.REFUSED_NOT_RUN and status == 503:
                upstream.limit.on_shed(retry_after_ms, now_ms)
            if job.state == _SENT:
                self._finish_run(job, kind, retry_after_ms, body, effects)
            return kind is not RunKind.UNKNOWN
        code, retry_after_ms = search_outcome(status, job.call, body)
        if code == SubCode.BROKEN:
            upstream.failures += 1
        else:
            upstream.failures = 0
        if code == SubCode.SHED:
            upstream.limit.on_shed(retry_after_ms, now_ms)
        elif code == _ANSWERED:
            upstream.limit.on_success()
            if job.state == _SENT:
                upstream.observe_service(now_ms - job.sent_ms)
        if job.state == _SENT:
            kept = body if code == _ANSWERED else b""
            self._finish(job, code, retry_after_ms, kept, now_ms, effects)
        return code != SubCode.BROKEN

    def _finish(
        self,
        job: Job,
        code: int,
        retry_after_ms: int,
        body: bytes,
        now_ms: int,
        effects: list[Any],
    ) -> None:
        if job.is_run:
            sent = job.state == _SENT
            kind = RunKind.UNKNOWN if sent else RunKind.REFUSED_NOT_RUN
            self._finish_run(job, kind, retry_after_ms, b"", effects)
            return
        sent_ms = job.sent_ms if job.state == _SENT else now_ms
        self._end(job)
        call_id, part, attempt = job.key
        effects.append(
            Reply(
                job.peer,
                call_id,
                part,
                attempt,
                int(code),
                retry_after_ms,
                sent_ms - job.queued_ms,
                now_ms - sent_ms,
                body,
            )
        )

    def _finish_run(
        self, job: Job, kind: RunKind, retry_after_ms: int, body: bytes, effects: list[Any]
    ) -> None:
        self._end(job)
        if kind is RunKind.REFUSED_NOT_RUN:
            self._tickets.pop(job.key, None)
        effects.append(RunResult(job.peer, job.key, kind, body, retry_after_ms))

    def _end(self, job: Job) -> None:
        if job.state == _QUEUED:
            self._leave_queue(job)
        job.state = _DONE
        jobs = self._jobs.get(job.peer)
        if jobs is not None:
            jobs.pop(job.key, None)

    def _abandon(self, job: Job, effects: list[Any]) -> None:
        sent = job.state == _SENT
        if job.is_run and not sent:
            self._tickets.pop(job.key, None)
        self._end(job)
        if sent and not job.is_run:
            effects.append(_cancel(job))

    def _expire(self, now_ms: int, effects: list[Any]) -> None:
        expiry = self._expiry
        while expiry and expiry[0][0] <= now_ms:
            due = heapq.heappop(expiry)[2]
            if isinstance(due, Connection):
                if not due.open and not due.closing:
                    self._close(due, effects)
                continue
            self._expire_job(due, now_ms, effects)

    def _expire_job(self, job: Job, now_ms: int, effects: list[Any]) -> None:
        if job.state == _SENT:
            job.upstream.failures += 1
            job.upstream.observe_service(now_ms - job.sent_ms)
            if not job.is_run:
                effects.append(_cancel(job))
            job.connection.retired = True
        if job.state != _DONE:
            self._finish(job, SubCode.DEADLINE, 0, b"", now_ms, effects)
        connection = job.connection
        if connection is None or connection.closing:
            return
        late_ms = job.due_ms + self._policy.late_answer_ms
        if now_ms >= late_ms:
            self._close(connection, effects)
            return
        self._sequence += 1
        heapq.heappush(self._expiry, (late_ms, self._sequence, job))

    # ---- within: connections

    def _open_connections(
        self, upstream: Upstream, allowed: int, now_ms: int, effects: list[Any]
    ) -> None:
        if now_ms < upstream.connect_not_before_ms:
            return
        free_slots = max(0, allowed - upstream.in_flight)
        wanted = min(upstream.queued, free_slots) + self._policy.spare_connections
        if upstream.connect_failures:
            wanted = 1
        missing = wanted - len(upstream.idle) - upstream.opening
        room = upstream.cap - len(upstream.connections)
        for _ in range(min(missing, room)):
            self._open(upstream, now_ms, effects)

    def _open(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        self._last_conn += 1
        connection = Connection(self._last_conn, upstream, now_ms)
        self._connections[connection.conn] = connection
        upstream.connections[connection.conn] = connection
        upstream.opening += 1
        spec = upstream.spec
        effects.append(OpenConnection(connection.conn, spec.upstream_id, spec.ip, spec.port))
        self._sequence += 1
        due_ms = now_ms + self._policy.connect_timeout_ms
        heapq.heappush(self._expiry, (due_ms, self._sequence, connection))

    def _close(self, connection: Connection, effects: list[Any]) -> None:
        connection.closing = True
        upstream = connection.upstream
        if connection in upstream.idle:
            upstream.idle.remove(connection)
        effects.append(CloseConnection(connection.conn))

    def _release(self, connection: Connection, effects: list[Any]) -> None:
        if connection.retired:
            self._close(connection, effects)
            return
        connection.upstream.idle.append(connection)

    def _detach(self, connection: Connection) -> None:
        connection.job.connection = None
        connection.job = None
        connection.upstream.in_flight -= 1

    def _note_close(self, connection: Connection, now_ms: int) -> None:
        upstream = connection.upstream
        if not connection.open:
            upstream.opening -= 1
        if connection.retired or connection.served:
            return
        doublings = min(upstream.connect_failures, 16)
        wait_ms = self._policy.least_connect_wait_ms << doublings
        upstream.connect_failures += 1
        upstream.connect_not_before_ms = now_ms + min(wait_ms, self._policy.most_connect_wait_ms)

    # ---- within: health

    def _poll_health(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        jitter = 0.5 + self._rng.random()
        upstream.health_at_ms = now_ms + ceil(self._policy.health_period_ms * jitter)
        spec = upstream.spec
        effects.append(PollHealth(spec.upstream_id, spec.ip, spec.port))

    def _take_health(
        self, upstream: Upstream, health: HealthDoc, now_ms: int, effects: list[Any]
    ) -> None:
        upstream.health_failures = 0
        if upstream.incarnation is not None and health.incarnation > upstream.incarnation:
            upstream.drain.on_incarnation()
            upstream.limit.restart(now_ms)
        upstream.incarnation = health.incarnation
        upstream.limit.set_warming(health.state == "warming", now_ms)
        if health.state == "draining":
            upstream.drain.on_signal()
        if health.holding != upstream.holding:
            upstream.holding = health.holding
            effects.append(PublishHolding(health.holding))

    def _forget_tickets(self, now_ms: int) -> None:
        limit_ms = now_ms - self._policy.ticket_memory_ms
        for ticket, sent_ms in list(self._tickets.items()):
            if sent_ms > limit_ms:
                break
            del self._tickets[ticket]


def _search_head(batch: SubBatch) -> bytes:
    common = {
        "collection": batch.collection,
        "version": batch.version,
        "text": batch.text,
        "limit": batch.limit,
    }
    return orjson.dumps(common)[:-1] + b',"deadline_ms":'


def _run_parts(ticket: str, action: str, body: bytes) -> tuple[bytes, bytes] | None:
    try:
        orjson.loads(body)
        head = orjson.dumps({"ticket": ticket, "action": action})
    except ValueError:
        return None
    return head[:-1] + b',"deadline_ms":', body


def _refusal(
    peer: str, call_id: int, part: int, attempt: int, code: SubCode, retry_after_ms: int = 0
) -> Reply:
    return Reply(peer, call_id, part, attempt, int(code), retry_after_ms, 0, 0, b"")


def _cancel(job: Job) -> CancelUpstream:
    spec = job.upstream.spec
    return CancelUpstream(spec.upstream_id, job.call.decode(), spec.ip, spec.port)
