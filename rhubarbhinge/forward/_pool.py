"""Pool of connections to searchers."""

import heapq
import itertools
import math
from collections.abc import Callable

from circuits import BaseComponent
from msgspec.structs import replace

from rhubarbhinge.admission import SearcherQueue
from rhubarbhinge.fleet import DomainReachability, ObservedSearcher, SearcherStart
from rhubarbhinge.forward._connections import Connection, SearcherConnections
from rhubarbhinge.forward._dialect import Dialect
from rhubarbhinge.forward._exchange import Attempt, Exchange
from rhubarbhinge.forward._exit_checks import ExitChecks
from rhubarbhinge.forward._large_replies import LargeReplies
from rhubarbhinge.forward._outcome import FailureReason, Lost, NotRun, Outcome
from rhubarbhinge.forward._pending_exchange import PendingExchange
from rhubarbhinge.forward._queue_review import (
    REVIEW_INTERVAL_MS,
    review,
    searcher_queue,
    withdraw_expected_late,
)
from rhubarbhinge.forward._reply_memory import DEFAULT_LIMIT_BYTES
from rhubarbhinge.forward._reply_outcome import is_reply_to, outcome_of, record_reply
from rhubarbhinge.forward._reply_reader import RawReply, ReplyError
from rhubarbhinge.forward._searcher_reply import SearcherReply
from rhubarbhinge.forward._window_events import log_reduction
from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerHandle, TimerService

CONNECT_TIMEOUT_MS = 350.0
"""Timeout for establishing a connection. It usually takes 6 ms, but a searcher may pause for 250
ms."""
DEFAULT_KEEP_ALIVE_MS = 4_000.0
"""How long an idle connection is kept if the searcher does not state its keep-alive time."""
KEEP_ALIVE_MARGIN_MS = 500.0
"""An idle connection is closed this long before the searcher would close it, to avoid a race."""
LARGE_REPLY_BYTES = 64 * 1024
"""Replies of which more than this has been received may be paused. Smaller ones hardly add to the
memory used, complete within one read, and let other callers be served."""
MAX_COPIED_BODY_BYTES = 64 * 1024
"""Longer bodies are not copied for each searcher, as a search sends its body to all shards."""
MAX_SKIPPED_REPLIES = 4
"""Maximum number of replies to earlier requests that are skipped on a connection before it is
closed."""


class ConnectionPool(BaseComponent):
    """Sends requests to searchers over persistent connections, one request at a time on each.

    :param timers: the timer service.
    :param dialect: encodes requests and decodes replies.
    :param max_connections: returns the maximum number of open connections to a searcher.
    :param on_wrong_searcher: called when another searcher replied at a searcher's address.
    :param reachability: notified of searchers that respond and of those that cannot be reached.
    :param reply_memory_bytes: maximum number of bytes held by incomplete large replies.
    :ivar bad_loads: number of replies with an invalid reported load since startup.
    :ivar in_progress: number of exchanges in progress, including queued ones.
    """

    channel = "connection-pool"

    def __init__(
        self,
        timers: TimerService,
        dialect: Dialect,
        max_connections: Callable[[ObservedSearcher], int],
        on_wrong_searcher: Callable[[ObservedSearcher], None],
        reachability: DomainReachability,
        reply_memory_bytes: int = DEFAULT_LIMIT_BYTES,
    ):
        super().__init__()
        self._timers = timers
        self._dialect = dialect
        self._max_connections = max_connections
        self._on_wrong_searcher = on_wrong_searcher
        self._reachability = reachability
        self.bad_loads = 0
        self.in_progress = 0
        self._attempt_numbers = itertools.count(1)
        self._by_link: dict[int, Connection] = {}
        self._by_searcher: dict[SearcherStart, SearcherConnections] = {}
        self._long_bodies: dict[int, int] = {}
        self._exit_checks = ExitChecks(timers, self.open_ahead)
        self._review_timer: TimerHandle | None = None
        self._latest_deadline_ms = math.inf
        # A connection has one request at a time, whose length its caller's limits bound.
        self._links = Links(
            self._opened,
            self._received,
            self._closed,
            max_pending_bytes=math.inf,
            detect_dead_peers=True,
        ).register(self)
        self._large_replies = LargeReplies(timers, self._links, reply_memory_bytes)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._by_link)

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent to searchers since startup."""
        return self._links.sent_bytes

    @property
    def links(self) -> Links:
        """The connections, for the accounting of buffered bytes."""
        return self._links

    @property
    def shared_unsent_bytes(self) -> int:
        """Number of unsent bytes of long bodies, which all attempts at a request share."""
        return sum(
            min(body_bytes, self._links.unsent_bytes(link))
            for link, body_bytes in self._long_bodies.items()
        )

    @property
    def received_bytes(self) -> int:
        """Number of bytes of incomplete replies; takes time for each connection."""
        return sum(
            conn.reader.held_bytes for conn in self._by_link.values() if conn.pending is not None
        )

    def pause_large_replies(self) -> None:
        """Stop reading large replies that are not complete yet.

        A searcher closes a connection of which it can write nothing for some seconds; the reply is
        then lost.
        """
        self._large_replies.pause(
            link for link, conn in self._by_link.items() if _has_large_reply(conn)
        )

    def resume_replies(self) -> None:
        """Read all replies again."""
        self._large_replies.resume()

    @property
    def waiting(self) -> int:
        """Number of requests queued for a connection."""
        return sum(
            not one.finished
            for connections in self._by_searcher.values()
            for one in connections.waiting
        )

    def send(self, exchange: Exchange, on_outcome: Callable[[Outcome], None]) -> Attempt:
        """Start an exchange.

        :param exchange: request and searcher.
        :param on_outcome: called once with the outcome, after this method has returned.
        :returns: handle for cancelling the exchange.
        """
        pending = PendingExchange(
            next(self._attempt_numbers), exchange, on_outcome, self._cancelled
        )
        pending.limit_deadline(self._latest_deadline_ms)
        observed = exchange.searcher
        now_ms = self._timers.now_ms()
        observed.on_sent(pending.number, now_ms)
        self.in_progress += 1
        connections = self._connections(observed)
        if connections.waiting or not self._has_room(observed, connections, now_ms):
            heapq.heappush(connections.waiting, pending)
            self._start_waiting(observed, connections)
            if pending.is_forwarded and pending.link is None:
                self._schedule_review()
            return pending
        conn = self._take_idle(connections, pending, now_ms)
        if conn is not None:
            self._write(conn, pending, now_ms)
        elif connections.idle or connections.count < self._max_connections(observed):
            self._open(observed, connections, pending)
        else:
            heapq.heappush(connections.waiting, pending)
            if pending.is_forwarded:
                self._schedule_review()
        return pending

    def queue(self, observed: ObservedSearcher) -> SearcherQueue:
        """Return the queue of a searcher.

        :param observed: the searcher.
        :returns: the requests that wait for it, and how fast they are sent.
        """
        connections = self._by_searcher.get(observed.start)
        return searcher_queue(
            connections, max(1, self._max_connections(observed)), self._timers.now_ms()
        )

    def open_ahead(self, observed: ObservedSearcher) -> bool:
        """Open a connection without a request, to check whether a searcher is reachable.

        :param observed: the searcher.
        :returns: whether a connection to it is being opened; False at its limit of connections.
        """
        connections = self._connections(observed)
        if not connections.opening and connections.count < self._max_connections(observed):
            self._open(observed, connections, None)
        elif not connections.count:
            del self._by_searcher[observed.start]
        return connections.opening > 0

    def verify(self, observed: ObservedSearcher) -> None:
        """Send no more requests to a searcher until a new connection to it has been established.

        Requests already sent are awaited; unsent ones fail as unreachable and can be sent
        elsewhere.

        :param observed: a searcher that may be unreachable.
        """
        self._suspend(observed, "domain-suspected")
        self.open_ahead(observed)

    def suspend_searcher(self, observed: ObservedSearcher) -> None:
        """Send no more requests to a searcher until it is reported as reachable again.

        Requests already sent are awaited; unsent ones fail as unreachable and can be sent
        elsewhere.

        :param observed: an unreachable searcher.
        """
        self._suspend(observed, "domain-unreachable")

    def forget(self, observed: ObservedSearcher) -> None:
        """Close the idle connections to a searcher that receives no more requests.

        :param observed: the searcher.
        """
        connections = self._by_searcher.get(observed.start)
        if connections is None:
            return
        # Withdrawn first: dropping a connection would send queued requests in its place.
        self._withdraw_waiting(connections, FailureReason.LEAVING)
        for conn in list(connections.idle):
            self._drop(conn)

    def limit_deadlines(self, latest_ms: float) -> None:
        """Bring forward the deadlines of all requests that are not sent yet, and of later ones.

        Forwarded requests whose turn is then expected too late fail at the next review of the
        queues. Only a process that shuts down limits deadlines, so others can serve them.

        :param latest_ms: the latest deadline.
        """
        self._latest_deadline_ms = latest_ms
        queued = [one for each in self._by_searcher.values() for one in each.waiting]
        connecting = [conn.pending for conn in self._by_link.values() if not conn.is_open]
        for pending in (*queued, *connecting):
            if pending is not None:
                pending.limit_deadline(latest_ms)
        self._schedule_review()

    def close_idle(self) -> None:
        """Close idle connections whose keep-alive time has expired."""
        now_ms = self._timers.now_ms()
        for connections in list(self._by_searcher.values()):
            for conn in [conn for conn in connections.idle if conn.idle_until_ms <= now_ms]:
                self._drop(conn)

    def _schedule_review(self) -> None:
        if self._review_timer is None:
            self._review_timer = self._timers.after(REVIEW_INTERVAL_MS, self._review)

    def _review(self) -> None:
        """Fail the forwarded requests that wait but can no longer be served."""
        self._review_timer = None
        now_ms = self._timers.now_ms()
        remaining = False
        for connections in list(self._by_searcher.values()):
            if not connections.waiting:
                continue
            limit = max(1, self._max_connections(connections.waiting[0].exchange.searcher))
            for pending, reason in review(connections, limit, now_ms):
                self._withdraw(pending, reason)
            if math.isfinite(self._latest_deadline_ms):
                for pending in withdraw_expected_late(connections, limit, now_ms):
                    self._withdraw(pending, FailureReason.QUEUE_TOO_LONG)
            remaining = remaining or any(one.is_forwarded for one in connections.waiting)
        if remaining:
            self._schedule_review()

    def _connections(self, observed: ObservedSearcher) -> SearcherConnections:
        connections = self._by_searcher.get(observed.start)
        if connections is None:
            connections = self._by_searcher[observed.start] = SearcherConnections()
        return connections

    def _take_idle(
        self, connections: SearcherConnections, pending: PendingExchange, now_ms: float
    ) -> Connection | None:
        """Take an idle connection on which the request has not been sent before."""
        found, used = None, []
        while connections.idle and found is None:
            conn = connections.idle.pop()
            if conn.idle_until_ms <= now_ms or not self._links.is_idle(conn.link):
                self._close(conn, connections)
            elif conn.has_sent(pending):
                used.append(conn)
            else:
                found = conn
        connections.idle.extend(reversed(used))
        return found

    def _has_room(
        self, observed: ObservedSearcher, connections: SearcherConnections, now_ms: float
    ) -> bool:
        """Check whether the searcher's send window admits another request."""
        window = observed.send_window
        if window is None:
            return True
        return connections.in_flight < window.size(self._max_connections(observed), now_ms)

    def _start_waiting(
        self, observed: ObservedSearcher, connections: SearcherConnections, replace: bool = False
    ) -> None:
        """Send queued exchanges while there are connections and room in the send window.

        :param replace: whether one connection may be opened in place of one just closed, even if
            the limit of connections has been lowered since.
        """
        now_ms = self._timers.now_ms()
        while connections.waiting and self._has_room(observed, connections, now_ms):
            may_open = replace or connections.count < self._max_connections(observed)
            if not connections.idle and not may_open:
                return
            waiting = self._next_sendable(connections, now_ms)
            if waiting is None:
                return
            conn = self._take_idle(connections, waiting, now_ms)
            if conn is None:
                self._open(observed, connections, waiting)
                replace = False
            else:
                self._write(conn, waiting, now_ms)
        window = observed.send_window
        if not connections.waiting or connections.wake_up_due or window.is_restored(now_ms):
            return
        connections.wake_up_due = True
        restored_in_ms = window.restored_at_ms - now_ms
        self._timers.after(restored_in_ms, lambda: self._wake_up(observed, connections))

    def _wake_up(self, observed: ObservedSearcher, connections: SearcherConnections) -> None:
        """Start what waits when the send window may have been restored."""
        connections.wake_up_due = False
        self._start_waiting(observed, connections)

    def _open(
        self,
        observed: ObservedSearcher,
        connections: SearcherConnections,
        pending: PendingExchange | None,
    ) -> None:
        if connections.idle and connections.count >= self._max_connections(observed):
            # Only connections on which the request was sent before are idle.
            self._close(connections.idle[0], connections)
        searcher = observed.searcher
        connections.count += 1
        connections.opening += 1
        link = self._links.open(searcher.ip, searcher.port, CONNECT_TIMEOUT_MS)
        conn = Connection(link, observed, pending=pending)
        if pending is not None:
            pending.link = link
            connections.in_flight += 1
        self._by_link[link] = conn

    def _write(self, conn: Connection, pending: PendingExchange, now_ms: float) -> None:
        exchange = pending.exchange
        if conn.pending is None:
            self._connections(conn.searcher).in_flight += 1
        conn.pending = pending
        conn.request_ids.add(exchange.request.id)
        conn.reader.wants_body = exchange.request.wants_body
        pending.link = conn.link
        pending.sent_ms = now_ms
        exchange.searcher.on_written(pending.number, now_ms)
        left_ms = max(1.0, exchange.deadline_ms - now_ms)
        request, searcher = exchange.request, exchange.searcher.searcher
        if len(request.body) <= MAX_COPIED_BODY_BYTES:
            self._links.send(conn.link, self._dialect.encode_request(request, searcher, left_ms))
        else:
            head = self._dialect.encode_request(replace(request, body=b""), searcher, left_ms)
            self._links.send(conn.link, head)
            self._links.send(conn.link, request.body)
            self._long_bodies[conn.link] = len(request.body)

    def _take_pending(self, conn: Connection) -> PendingExchange | None:
        """Detach a connection from its exchange, which is then no longer in flight."""
        pending, conn.pending = conn.pending, None
        if pending is not None:
            self._connections(conn.searcher).in_flight -= 1
        self._large_replies.on_end(conn.link)
        self._long_bodies.pop(conn.link, None)
        return pending

    def _opened(self, link: int, inbound: bool) -> None:
        conn = self._by_link.get(link)
        if conn is None:
            return
        conn.is_open = True
        now_ms = self._timers.now_ms()
        self._connections(conn.searcher).opening -= 1
        conn.searcher.on_connected(now_ms)
        self._exit_checks.on_result(conn.searcher.start, ended=False)
        self._reachability.on_heard(conn.searcher.searcher.failure_domain)
        if link not in self._by_link:
            # A report of the check has cancelled the request, which closed the connection.
            return
        if not conn.searcher.usable:
            self._close_unusable(conn)
        elif conn.pending is not None:
            self._write(conn, conn.pending, now_ms)
        else:
            self._release(conn, DEFAULT_KEEP_ALIVE_MS)

    def _close_unusable(self, conn: Connection) -> None:
        """Close a connection whose searcher became unusable while it was being established."""
        pending = self._take_pending(conn)
        if pending is not None:
            self._withdraw(pending, FailureReason.LEAVING)
        self._drop(conn)

    def _received(self, link: int, data: bytes) -> None:
        conn = self._by_link.get(link)
        if conn is None:
            return
        self._reachability.on_heard(conn.searcher.searcher.failure_domain)
        if conn.pending is None:
            self._drop(conn)
            return
        try:
            replies = conn.reader.feed(data)
        except ReplyError as error:
            self._fail(conn, Lost(FailureReason.MALFORMED), error.code)
            return
        for raw in replies:
            if conn.pending is None:
                self._drop(conn)
                return
            self._replied(conn, raw, last=raw is replies[-1])
        if _has_large_reply(conn):
            service = conn.searcher.searcher.service
            self._large_replies.on_received(conn.link, service, conn.reader.held_bytes)
            while (excess := self._large_replies.excess()) is not None:
                self._fail(self._by_link[excess], Lost(FailureReason.BROKEN), "memory-limit")

    def _replied(self, conn: Connection, raw: RawReply, last: bool) -> None:
        pending = conn.pending
        reply = self._dialect.decode_reply(raw)
        if not is_reply_to(reply, pending.exchange.request.id):
            self._skip(conn, raw.reusable or not last, reply.request_id)
            return
        now_ms = self._timers.now_ms()
        self._take_pending(conn)
        self._adapt_window(pending, reply, now_ms)
        # If a reply without an id was repeated, it would be taken for that to the next request.
        reusable = raw.reusable and last and conn.accepts_requests and reply.request_id
        if reusable and pending.exchange.searcher.usable:
            self._release(conn, reply.keep_alive_ms)
        else:
            self._drop(conn)
        delay_ms = now_ms - pending.sent_ms
        self.bad_loads += reply.load_is_bad
        record_reply(pending, reply, delay_ms, now_ms)
        if reply.wrong_searcher:
            self._on_wrong_searcher(conn.searcher)
        self._report(pending, outcome_of(reply, delay_ms))

    def _adapt_window(self, pending: PendingExchange, reply: SearcherReply, now_ms: float) -> None:
        """Adapt the searcher's send window to a reply, before its place is given to another."""
        observed = pending.exchange.searcher
        if reply.wrong_searcher or not (reply.not_run or observed.send_window):
            return
        limit = self._max_connections(observed)
        typical_ms = pending.exchange.delays.quantile(0.5)
        window = observed.on_capacity(reply.not_run, limit, typical_ms, now_ms)
        if window is not None:
            log_reduction(observed, window, limit, now_ms)

    def _skip(self, conn: Connection, more_may_come: bool, request_id: str) -> None:
        """Skip a late reply to an earlier request; the expected one may follow."""
        conn.skipped += 1
        log_event(
            "reply-skipped",
            level="warning",
            request=conn.pending.exchange.request.id,
            of_request=request_id,
            searcher=conn.searcher.searcher.incarnation,
        )
        if not more_may_come or conn.skipped > MAX_SKIPPED_REPLIES:
            self._fail(conn, Lost(FailureReason.MALFORMED), "other-request")

    def _release(self, conn: Connection, keep_alive_ms: float | None) -> None:
        connections = self._connections(conn.searcher)
        now_ms = self._timers.now_ms()
        observed = conn.searcher
        if connections.waiting and self._has_room(observed, connections, now_ms):
            waiting = self._next_sendable(connections, now_ms)
            if waiting is not None:
                if conn.has_sent(waiting):
                    self._close(conn, connections)
                    self._open(observed, connections, waiting)
                else:
                    self._write(conn, waiting, now_ms)
                if observed.send_window is not None:
                    self._start_waiting(observed, connections)
                return
        idle_ms = (
            DEFAULT_KEEP_ALIVE_MS if keep_alive_ms is None else keep_alive_ms - KEEP_ALIVE_MARGIN_MS
        )
        if idle_ms <= 0:
            self._drop(conn)
            return
        conn.idle_until_ms = now_ms + idle_ms
        connections.idle.append(conn)
        if connections.waiting:
            self._start_waiting(observed, connections)

    def _next_sendable(
        self, connections: SearcherConnections, now_ms: float
    ) -> PendingExchange | None:
        found, expired = connections.pop_sendable(now_ms)
        for pending in expired:
            self._withdraw(pending, FailureReason.TOO_LATE)
        return found

    def _cancelled(self, pending: PendingExchange) -> None:
        pending.finished = True
        self.in_progress -= 1
        conn = self._by_link.get(pending.link)
        exchange = pending.exchange
        now_ms = self._timers.now_ms()
        if pending.sent_ms is None:
            exchange.searcher.on_withdrawn(pending.number)
        else:
            waited_ms = now_ms - pending.sent_ms
            typical_ms = exchange.delays.quantile(0.5)
            exchange.searcher.on_cancelled(pending.number, waited_ms, typical_ms, now_ms)
        if conn is None or conn.pending is not pending:
            return
        self._take_pending(conn)
        connections = self._connections(exchange.searcher)
        if conn.is_open:
            self._drop(conn)
        elif connections.waiting and exchange.searcher.send_window is not None:
            self._start_waiting(exchange.searcher, connections)

    def _closed(self, link: int, reason: CloseReason) -> None:
        conn = self._by_link.get(link)
        if conn is None:
            return
        if conn.pending is not None and reason is CloseReason.PEER:
            raw = conn.reader.finish()
            if raw is not None:
                self._replied(conn, raw, last=True)
        if reason is CloseReason.SILENT or not conn.is_open:
            self._on_connect_failed(conn, reason.value)
        if reason is CloseReason.REFUSED:
            self._exit_checks.on_result(conn.searcher.start, ended=True)
        if conn.pending is None:
            self._drop(conn)
        elif conn.is_open:
            by_peer = reason in (CloseReason.PEER, CloseReason.RESET)
            unanswered = by_peer and not conn.reader.begun
            self._fail(conn, Lost(FailureReason.BROKEN), reason.value, check_end=unanswered)
        else:
            self._fail(conn, NotRun(FailureReason.UNREACHABLE), reason.value)

    def _fail(self, conn: Connection, outcome: Outcome, code: str, check_end: bool = False) -> None:
        pending = self._take_pending(conn)
        observed = conn.searcher
        now_ms = self._timers.now_ms()
        if isinstance(outcome, NotRun):
            observed.on_withdrawn(pending.number)
        else:
            observed.on_lost(pending.number, now_ms)
        log_event(
            "attempt-failed",
            level="warning",
            request=pending.exchange.request.id,
            searcher=observed.searcher.incarnation,
            why=outcome.reason.value,
            code=code,
            may_have_run=isinstance(outcome, Lost),
        )
        self._drop(conn)
        if check_end:
            self._exit_checks.check(
                observed, lambda ended: self._report(pending, Lost(outcome.reason, ended))
            )
        else:
            self._report(pending, outcome)

    def _on_connect_failed(self, conn: Connection, code: str) -> None:
        searcher = conn.searcher.searcher
        if not conn.searcher.is_down:
            log_event(
                "searcher-unreachable",
                level="warning",
                searcher=searcher.incarnation,
                code=code,
            )
        self._mark_down(conn.searcher, code, keep=conn)
        self._reachability.on_unreachable(searcher.failure_domain, searcher.ip)

    def _suspend(self, observed: ObservedSearcher, code: str) -> None:
        """Mark a searcher down and close its idle connections.

        Idle connections may stay unresponsive even when new ones work again.
        """
        self._mark_down(observed, code)
        for conn in list(self._connections(observed).idle):
            self._drop(conn)

    def _mark_down(
        self, observed: ObservedSearcher, code: str, keep: Connection | None = None
    ) -> None:
        """Mark a searcher as unreachable and fail its unsent requests, so that they are sent
        elsewhere."""
        observed.on_unreachable()
        self._withdraw_waiting(self._connections(observed), FailureReason.UNREACHABLE)
        opening = [c for c in self._by_link.values() if c.searcher is observed and not c.is_open]
        for conn in opening:
            if conn is keep:
                continue
            if conn.pending is None:
                self._drop(conn)
            else:
                self._fail(conn, NotRun(FailureReason.UNREACHABLE), code)

    def _withdraw_waiting(self, connections: SearcherConnections, reason: FailureReason) -> None:
        """Report all queued exchanges as not run."""
        while (pending := connections.pop_waiting()) is not None:
            self._withdraw(pending, reason)

    def _withdraw(self, pending: PendingExchange, reason: FailureReason) -> None:
        pending.exchange.searcher.on_withdrawn(pending.number)
        self._timers.after(0, lambda: self._report(pending, NotRun(reason)))

    def _report(self, pending: PendingExchange, outcome: Outcome) -> None:
        if not pending.finished:
            pending.finished = True
            self.in_progress -= 1
            pending.on_outcome(outcome)

    def _drop(self, conn: Connection) -> None:
        """Close a connection, and start what waits in its place."""
        if conn.link not in self._by_link:
            return
        observed = conn.searcher
        connections = self._connections(observed)
        self._close(conn, connections)
        if connections.waiting:
            self._start_waiting(observed, connections, replace=True)
        if not connections.count:
            del self._by_searcher[observed.start]

    def _close(self, conn: Connection, connections: SearcherConnections) -> None:
        del self._by_link[conn.link]
        connections.count -= 1
        if not conn.is_open:
            connections.opening -= 1
        if conn in connections.idle:
            connections.idle.remove(conn)
        conn.reader.close()
        self._links.abort(conn.link)


def _has_large_reply(conn: Connection) -> bool:
    """Check whether a connection has an incomplete reply of more than ``LARGE_REPLY_BYTES``."""
    return conn.pending is not None and conn.reader.held_bytes > LARGE_REPLY_BYTES
