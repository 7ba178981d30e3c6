"""Sans-I/O core of the relay, with one queue for each searcher that it owns."""

from random import Random
from typing import Any

from rhubarbhinge.routing._completion import cancel_request, fail, fail_queue
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._connectiontable import ConnectionTable
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._droppeer import DropPeer
from rhubarbhinge.routing._expiry import expire
from rhubarbhinge.routing._healthdoc import HealthDoc, parse_health_doc
from rhubarbhinge.routing._intake import Intake, refuse_wrong_receiver
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._loadreports import LoadReports, load_report
from rhubarbhinge.routing._publishholding import PublishHolding
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._requestbodies import run_parts, search_head
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._responsehandling import handle_run_response, handle_search_response
from rhubarbhinge.routing._responses import reports_draining
from rhubarbhinge.routing._runoutcome import RunOutcome
from rhubarbhinge.routing._runresult import RunResult
from rhubarbhinge.routing._sending import refresh_and_send, send_queued
from rhubarbhinge.routing._sweeps import Sweeps
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.routing._upstreamspec import UpstreamSpec
from rhubarbhinge.routing._upstreamtable import UpstreamTable
from rhubarbhinge.wire import CancelBatch, HoldingReport, SubBatch, SubCode, UpstreamReport

_SENT = Job.SENT
_DONE = Job.DONE


class RelayCore:
    """State machine for the queues, slots, connections and draining of a relay's searchers.

    Each input method returns the effects that the shell carries out, in order. A connection counts
    against its searcher's cap, and a request against its slots, until the shell calls
    :meth:`on_connection_closed`, once for each connection, including those that it closed itself.

    :param incarnation: this relay's incarnation.
    :param settings: relay settings.
    :param rng: random number generator for jitter.
    """

    def __init__(self, incarnation: int, settings: RelayPolicy, rng: Random) -> None:
        self._incarnation = incarnation
        self._connections = ConnectionTable()
        self._requests = RequestTable(settings.ticket_memory_ms)
        self._deadlines = Deadlines()
        self._upstreams = UpstreamTable(
            settings, self._requests, self._connections, self._deadlines
        )
        self._sweeps = Sweeps(settings, rng, self._requests)
        self._intake = Intake(
            incarnation,
            settings,
            self._requests,
            self._deadlines,
            self._upstreams,
            self._sweeps,
        )
        self._reports = LoadReports(settings)

    @property
    def register_revision(self) -> int:
        """The register revision in force, -1 before the first."""
        return self._upstreams.revision

    def is_idle(self) -> bool:
        """Return whether no entry waits for a result, so that the relay may stop.

        :returns: True if there is no unfinished request.
        """
        return self._requests.is_idle()

    def set_upstreams(
        self, register_revision: int, owned: tuple[UpstreamSpec, ...], now_ms: int
    ) -> list[Any]:
        """Update the searchers that this relay owns; an older register revision is ignored.

        An empty tuple hands over all searchers: the relay fails queued requests, lets those in
        flight finish, and closes its connections.

        :param register_revision: revision of the register that lists them.
        :param owned: searchers that this relay owns.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        self._upstreams.set_owned(register_revision, owned, now_ms, effects)
        return effects

    def set_leaving(self, upstream_ids: frozenset[int], now_ms: int) -> list[Any]:
        """Update the searchers whose VMs are marked as leaving in the platform's VM list.

        :param upstream_ids: all leaving searchers, owned or not.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        self._upstreams.set_leaving(upstream_ids, now_ms, effects)
        return effects

    def on_batch(self, peer: str, batch: SubBatch, now_ms: int) -> list[Any]:
        """Accept or refuse a batch of sub-queries.

        :param peer: the entry's link.
        :param batch: unvalidated message; any holder of the deployment key can send it.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        columns = (batch.parts, batch.attempts, batch.upstream_ids, batch.los, batch.his)
        head = search_head(batch)
        if head is None or not _same_length(columns):
            return [DropPeer(peer, "malformed")]
        if batch.receiver_incarnation != self._incarnation:
            return refuse_wrong_receiver(peer, batch)
        return self._intake.batch(peer, batch, head, now_ms)

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
        """Accept or refuse a run, a request that is sent at most once.

        :param peer: the entry's link.
        :param ticket: the run's ticket; one that may have been sent before is not sent again.
        :param upstream_id: the searcher.
        :param action: name of the action to run.
        :param body: JSON object from the caller.
        :param deadline_ms: time left when the message was created.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        if self._requests.knows_ticket(ticket):
            return [RunResult(peer, ticket, RunOutcome.UNKNOWN, b"", 0)]
        parts = run_parts(ticket, action, body)
        if parts is None:
            return [RunResult(peer, ticket, RunOutcome.REFUSED_NOT_RUN, b"", 0)]
        return self._intake.run(peer, ticket, upstream_id, parts, deadline_ms, now_ms)

    def knows_ticket(self, ticket: str) -> bool:
        """Return whether a run is queued here or may have been sent.

        :param ticket: its ticket.
        :returns: False if it is new, or known not to have been sent.
        """
        return self._requests.knows_ticket(ticket)

    def on_cancel(self, peer: str, batch: CancelBatch, now_ms: int) -> list[Any]:
        """Cancel sub-queries; those in flight keep their slots until they end.

        :param peer: the entry's link.
        :param batch: the sub-queries to cancel.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        columns = (batch.call_ids, batch.parts, batch.attempts)
        if not _same_length(columns):
            return [DropPeer(peer, "malformed")]
        effects: list[Any] = []
        jobs = self._requests.get_for_peer(peer, {})
        for key in zip(*columns, strict=True):
            job = jobs.get(key)
            if job is not None:
                cancel_request(self._requests, job, effects)
        return effects

    def on_peer_gone(self, peer: str, now_ms: int) -> list[Any]:
        """Cancel all requests of an entry except runs in flight, which end with a result.

        :param peer: the entry's link.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        for job in list(self._requests.get_for_peer(peer, {}).values()):
            cancel_request(self._requests, job, effects)
        self._requests.remove_peer(peer)
        return effects

    def on_connected(self, conn: int, now_ms: int) -> list[Any]:
        """Record that a connection is open.

        :param conn: the connection.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        connection = self._connections.get(conn)
        if connection is None or connection.open or connection.closing:
            return effects
        connection.upstream.pool.on_opened(connection, effects)
        refresh_and_send(self._requests, connection.upstream, now_ms, effects)
        return effects

    def on_connection_closed(self, conn: int, now_ms: int) -> list[Any]:
        """Record that a connection is closed, failed to open, or was refused.

        :param conn: the connection.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        connection = self._connections.pop(conn)
        if connection is None:
            return effects
        upstream = connection.upstream
        upstream.pool.on_closed(connection, now_ms)
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
        refresh_and_send(self._requests, upstream, now_ms, effects)
        self._upstreams.remove_if_closed(upstream)
        return effects

    def on_reply(
        self, conn: int, status: int, draining_header: bool, body: bytes, now_ms: int
    ) -> list[Any]:
        """Process a complete HTTP response from a searcher.

        :param conn: the connection.
        :param status: HTTP status code.
        :param draining_header: whether the response had the header ``Draining: 1``.
        :param body: response body.
        :param now_ms: current time in ms.
        :returns: effects to carry out.
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
        upstream.pool.on_response(connection)
        if draining_header or reports_draining(status, body):
            _record_drain_signal(connection)
        handle = handle_search_response if job.call else handle_run_response
        limit_unchanged = handle(self._requests, job, connection, status, body, now_ms, effects)
        upstream.pool.release(connection, effects)
        if not limit_unchanged or upstream.drain.draining:
            refresh_and_send(self._requests, upstream, now_ms, effects)
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
        """Process the response to a health poll; one of an older incarnation is ignored.

        :param upstream_id: the searcher.
        :param doc: parsed health document, or None if the poll failed.
        :param now_ms: current time in ms.
        :param draining_header: whether the response had the header ``Draining: 1``.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        upstream = self._upstreams.by_id.get(upstream_id)
        if upstream is None or not upstream.owned:
            return effects
        health = parse_health_doc(upstream_id, upstream.spec.name, doc)
        if health is None:
            upstream.health_failures += 1
        elif upstream.incarnation is None or health.incarnation >= upstream.incarnation:
            _apply_health(upstream, health, draining_header, now_ms, effects)
        refresh_and_send(self._requests, upstream, now_ms, effects)
        return effects

    def tick(self, now_ms: int) -> list[Any]:
        """Perform due work: expiry, ramps, connections, health polls and load reports.

        :param now_ms: current time in ms.
        :returns: effects to carry out.
        """
        effects: list[Any] = []
        for item in self._deadlines.pop_due(now_ms):
            if type(item) is Connection or item.state != _DONE or item.connection is not None:
                expire(self._requests, self._deadlines, item, now_ms, effects)
        if now_ms >= self._sweeps.due_ms:
            self._sweeps.sweep(self._upstreams.owned(), now_ms, effects)
        if now_ms >= self._reports.due_ms:
            self._reports.publish(self.load_report(now_ms), now_ms, effects)
            self._requests.remove_expired_tickets(now_ms)
        return effects

    def next_wake_ms(self) -> int:
        """Return the time at which :meth:`tick` must be called next.

        :returns: time in ms.
        """
        due_ms = self._deadlines.next_ms()
        wake_ms = min(self._sweeps.due_ms, self._reports.due_ms)
        return wake_ms if due_ms is None else min(wake_ms, due_ms)

    def load_report(self, now_ms: int) -> UpstreamReport:
        """Return a load report for all owned searchers.

        :param now_ms: current time in ms.
        :returns: the report.
        """
        return load_report(self._upstreams.owned(), now_ms)

    def open_work(self) -> int:
        """Count queued and in-flight requests, including those at searchers that were handed over.

        :returns: number of requests.
        """
        upstreams = self._upstreams.by_id.values()
        return sum(upstream.queue.count + upstream.in_flight for upstream in upstreams)

    def holdings(self) -> tuple[HoldingReport, ...]:
        """Return the holding reports of all owned searchers, for a newly linked entry.

        :returns: latest report of each searcher that has sent one.
        """
        found = (upstream.holding for upstream in self._upstreams.owned())
        return tuple(holding for holding in found if holding is not None)


def _apply_health(
    upstream: Upstream, health: HealthDoc, draining_header: bool, now_ms: int, effects: list[Any]
) -> None:
    if upstream.apply_health(health, now_ms, effects):
        effects.append(PublishHolding(health.holding))
    if draining_header:
        upstream.drain.on_searcher_signal()


def _record_drain_signal(connection: Connection) -> None:
    if connection.opened_ms >= connection.upstream.started_ms:
        connection.upstream.drain.on_searcher_signal()


def _same_length(columns: tuple[tuple[Any, ...], ...]) -> bool:
    return len({len(column) for column in columns}) == 1
