"""Connections to searchers."""

import heapq
import itertools
from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.fleet import DomainReach, ObservedSearcher, SearcherStart
from rhubarbhinge.forward._dialect import Dialect
from rhubarbhinge.forward._ended_checks import EndedChecks
from rhubarbhinge.forward._exchange import Attempt, Exchange
from rhubarbhinge.forward._exchanging import Exchanging
from rhubarbhinge.forward._lane import Connection, Lane
from rhubarbhinge.forward._outcome import Lost, NotRun, Outcome, Why
from rhubarbhinge.forward._reply_meaning import is_about, observe, outcome_of
from rhubarbhinge.forward._reply_reader import RawReply, ReplyError
from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService

CONNECT_TIMEOUT_MS = 350.0
"""Longest wait for a connection; takes 6 ms usually, and a pause of a searcher lasts 250 ms."""
IDLE_MS = 4_000.0
"""How long an idle connection is kept where the searcher does not say how long it keeps it."""
IDLE_MARGIN_MS = 500.0
"""An idle connection is given up this much before the searcher closes it, so as not to race it."""
SKIPPED_REPLIES = 4
"""Most replies to earlier requests that are skipped on one connection before it is given up."""


class ConnectionPool(BaseComponent):
    """Sends requests to searchers on connections that are kept, one request at a time on each.

    :param timers: the timer service.
    :param dialect: encodes requests and decodes replies.
    :param most_connections: gives the most connections that may be open to a searcher.
    :param on_wrong_searcher: told when another searcher answered at a searcher's address.
    :param reach: told which searchers are heard from, and which can't be reached.
    :ivar bad_loads: replies whose load made no sense since the start.
    """

    channel = "connection-pool"

    def __init__(
        self,
        timers: TimerService,
        dialect: Dialect,
        most_connections: Callable[[ObservedSearcher], int],
        on_wrong_searcher: Callable[[ObservedSearcher], None],
        reach: DomainReach,
    ):
        super().__init__()
        self._timers = timers
        self._dialect = dialect
        self._most_connections = most_connections
        self._on_wrong_searcher = on_wrong_searcher
        self._reach = reach
        self.bad_loads = 0
        self._numbers = itertools.count(1)
        self._conns: dict[int, Connection] = {}
        self._lanes: dict[SearcherStart, Lane] = {}
        self._ended_checks = EndedChecks(timers, self.open_ahead)
        self._links = Links(
            self._opened, self._received, self._closed, detect_dead_peers=True
        ).register(self)

    @property
    def open_connections(self) -> int:
        """How many connections are open or being opened."""
        return len(self._conns)

    @property
    def sent_bytes(self) -> int:
        """Bytes of requests to searchers since the start."""
        return self._links.sent_bytes

    @property
    def waiting(self) -> int:
        """How many requests wait for a connection."""
        return sum(not one.over for lane in self._lanes.values() for one in lane.waiting)

    def send(self, exchange: Exchange, tell: Callable[[Outcome], None]) -> Attempt:
        """Start an exchange.

        :param exchange: what is asked of whom.
        :param tell: told the outcome, once and later.
        :returns: the handle to cancel it by.
        """
        exchanging = Exchanging(next(self._numbers), exchange, tell, self._cancelled)
        observed = exchange.searcher
        now_ms = self._timers.now_ms()
        observed.on_sent(exchanging.number, now_ms)
        lane = self._lane(observed)
        conn = self._take_idle(lane, now_ms)
        if conn is not None:
            self._write(conn, exchanging, now_ms)
        elif lane.count < self._most_connections(observed):
            self._open(observed, lane, exchanging)
        else:
            heapq.heappush(lane.waiting, exchanging)
        return exchanging

    def open_ahead(self, observed: ObservedSearcher) -> None:
        """Open a connection without a request, to find out whether a searcher can be reached.

        :param observed: the searcher.
        """
        lane = self._lane(observed)
        if not lane.opening and lane.count < self._most_connections(observed):
            self._open(observed, lane, None)
        elif not lane.count:
            del self._lanes[observed.start]

    def verify(self, observed: ObservedSearcher) -> None:
        """Give a searcher no more requests until a new connection to it is open.

        Requests that were sent to it are waited for; those that were not go elsewhere.

        :param observed: a searcher that may be out of reach.
        """
        self._set_aside(observed, "domain-suspected")
        self.open_ahead(observed)

    def set_aside(self, observed: ObservedSearcher) -> None:
        """Give a searcher no more requests until it is told that it can be reached.

        Requests that were sent to it are waited for; those that were not go elsewhere.

        :param observed: a searcher that is out of reach.
        """
        self._set_aside(observed, "domain-unreachable")

    def forget(self, observed: ObservedSearcher) -> None:
        """Close the idle connections to a searcher that gets no more requests.

        :param observed: the searcher.
        """
        lane = self._lanes.get(observed.start)
        if lane is None:
            return
        for conn in list(lane.idle):
            self._drop(conn)
        self._turn_away(lane, Why.LEAVING)

    def close_idle(self) -> None:
        """Close idle connections whose time is over."""
        now_ms = self._timers.now_ms()
        for lane in list(self._lanes.values()):
            for conn in [conn for conn in lane.idle if conn.idle_until_ms <= now_ms]:
                self._drop(conn)

    def _lane(self, observed: ObservedSearcher) -> Lane:
        return self._lanes.setdefault(observed.start, Lane())

    def _take_idle(self, lane: Lane, now_ms: float) -> Connection | None:
        while lane.idle:
            conn = lane.idle.pop()
            if conn.idle_until_ms > now_ms and self._links.is_idle(conn.link):
                return conn
            self._drop(conn)
        return None

    def _open(self, observed: ObservedSearcher, lane: Lane, exchanging: Exchanging | None) -> None:
        searcher = observed.searcher
        lane.count += 1
        lane.opening += 1
        link = self._links.open(searcher.ip, searcher.port, CONNECT_TIMEOUT_MS)
        conn = Connection(link, observed, exchanging=exchanging)
        if exchanging is not None:
            exchanging.link = link
        self._conns[link] = conn

    def _write(self, conn: Connection, exchanging: Exchanging, now_ms: float) -> None:
        exchange = exchanging.exchange
        conn.exchanging = exchanging
        conn.reader.wants_body = exchange.request.wants_body
        exchanging.link = conn.link
        exchanging.sent_ms = now_ms
        exchange.searcher.on_written(exchanging.number, now_ms)
        left_ms = exchange.deadline_ms - now_ms
        data = self._dialect.searcher_request(
            exchange.request, exchange.searcher.searcher, max(1.0, left_ms)
        )
        self._links.send(conn.link, data)

    def _opened(self, link: int, inbound: bool) -> None:
        conn = self._conns.get(link)
        if conn is None:
            return
        conn.is_open = True
        now_ms = self._timers.now_ms()
        self._lane(conn.searcher).opening -= 1
        conn.searcher.on_connected(now_ms)
        self._ended_checks.found(conn.searcher.start, ended=False)
        self._reach.on_heard(conn.searcher.searcher.failure_domain)
        if not conn.searcher.usable:
            self._turn_back(conn)
        elif conn.exchanging is not None:
            self._write(conn, conn.exchanging, now_ms)
        else:
            self._keep(conn, IDLE_MS)

    def _turn_back(self, conn: Connection) -> None:
        """Send nothing to a searcher that may get no more since this connection was begun."""
        exchanging, conn.exchanging = conn.exchanging, None
        if exchanging is not None:
            self._withdraw(exchanging, Why.LEAVING)
        self._drop(conn)

    def _received(self, link: int, data: bytes) -> None:
        conn = self._conns.get(link)
        if conn is None:
            return
        self._reach.on_heard(conn.searcher.searcher.failure_domain)
        if conn.exchanging is None:
            self._drop(conn)
            return
        try:
            replies = conn.reader.feed(data)
        except ReplyError as error:
            self._fail(conn, Lost(Why.MALFORMED), error.code)
            return
        for raw in replies:
            if conn.exchanging is None:
                self._drop(conn)
                return
            self._replied(conn, raw, last=raw is replies[-1])

    def _replied(self, conn: Connection, raw: RawReply, last: bool) -> None:
        exchanging = conn.exchanging
        reply = self._dialect.searcher_reply(raw)
        if not is_about(reply, exchanging.exchange.request.id):
            self._skip(conn, raw.reusable or not last, reply.request_id)
            return
        now_ms = self._timers.now_ms()
        conn.exchanging = None
        reusable = raw.reusable and last and not conn.skipped
        if reusable and exchanging.exchange.searcher.usable:
            self._keep(conn, reply.keep_alive_ms)
        else:
            self._drop(conn)
        delay_ms = now_ms - exchanging.sent_ms
        self.bad_loads += reply.load_is_bad
        observe(exchanging, reply, delay_ms, now_ms)
        if reply.wrong_searcher:
            self._on_wrong_searcher(conn.searcher)
        self._tell(exchanging, outcome_of(reply, delay_ms))

    def _skip(self, conn: Connection, more_may_come: bool, request_id: str) -> None:
        """Pass over a late reply to an earlier request; the one that is waited for may follow."""
        conn.skipped += 1
        log_event(
            "reply-skipped",
            level="warning",
            request=conn.exchanging.exchange.request.id,
            of_request=request_id,
            searcher=conn.searcher.searcher.incarnation,
        )
        if not more_may_come or conn.skipped > SKIPPED_REPLIES:
            self._fail(conn, Lost(Why.MALFORMED), "other-request")

    def _keep(self, conn: Connection, keep_alive_ms: float | None) -> None:
        lane = self._lane(conn.searcher)
        now_ms = self._timers.now_ms()
        waiting = self._next_sendable(lane, now_ms)
        if waiting is not None:
            self._write(conn, waiting, now_ms)
            return
        idle_ms = IDLE_MS if keep_alive_ms is None else keep_alive_ms - IDLE_MARGIN_MS
        if idle_ms <= 0:
            self._drop(conn)
            return
        conn.idle_until_ms = now_ms + idle_ms
        lane.idle.append(conn)

    def _next_sendable(self, lane: Lane, now_ms: float) -> Exchanging | None:
        found, hopeless = lane.take_sendable(now_ms)
        for exchanging in hopeless:
            self._withdraw(exchanging, Why.TOO_LATE)
        return found

    def _cancelled(self, exchanging: Exchanging) -> None:
        exchanging.over = True
        conn = self._conns.get(exchanging.link)
        exchange = exchanging.exchange
        now_ms = self._timers.now_ms()
        if exchanging.sent_ms is None:
            exchange.searcher.on_withdrawn(exchanging.number)
        else:
            waited_ms = now_ms - exchanging.sent_ms
            typical_ms = exchange.delays.quantile(0.5)
            exchange.searcher.on_cancelled(exchanging.number, waited_ms, typical_ms, now_ms)
        if conn is None or conn.exchanging is not exchanging:
            return
        conn.exchanging = None
        if conn.is_open:
            self._drop(conn)

    def _closed(self, link: int, reason: CloseReason) -> None:
        conn = self._conns.get(link)
        if conn is None:
            return
        if conn.exchanging is not None and reason is CloseReason.PEER:
            raw = conn.reader.finish()
            if raw is not None:
                self._replied(conn, raw, last=True)
        if reason is CloseReason.SILENT or not conn.is_open:
            self._unreachable(conn, reason.value)
        if reason is CloseReason.REFUSED:
            self._ended_checks.found(conn.searcher.start, ended=True)
        if conn.exchanging is None:
            self._drop(conn)
        elif conn.is_open:
            by_peer = reason in (CloseReason.PEER, CloseReason.RESET)
            unanswered = by_peer and not conn.reader.begun
            self._fail(conn, Lost(Why.BROKEN), reason.value, check_end=unanswered)
        else:
            self._fail(conn, NotRun(Why.UNREACHABLE), reason.value)

    def _fail(self, conn: Connection, outcome: Outcome, code: str, check_end: bool = False) -> None:
        exchanging, conn.exchanging = conn.exchanging, None
        observed = conn.searcher
        now_ms = self._timers.now_ms()
        if isinstance(outcome, NotRun):
            observed.on_withdrawn(exchanging.number)
        else:
            observed.on_lost(exchanging.number, now_ms)
        log_event(
            "attempt-failed",
            level="warning",
            request=exchanging.exchange.request.id,
            searcher=observed.searcher.incarnation,
            why=outcome.why.value,
            code=code,
            may_have_run=isinstance(outcome, Lost),
        )
        self._drop(conn)
        if check_end:
            self._ended_checks.check(
                observed, lambda ended: self._tell(exchanging, Lost(outcome.why, ended))
            )
        else:
            self._tell(exchanging, outcome)

    def _unreachable(self, conn: Connection, code: str) -> None:
        searcher = conn.searcher.searcher
        if not conn.searcher.is_down:
            log_event(
                "searcher-unreachable",
                level="warning",
                searcher=searcher.incarnation,
                code=code,
            )
        self._set_down(conn.searcher, code, but=conn)
        self._reach.on_unreachable(searcher.failure_domain, searcher.ip)

    def _set_aside(self, observed: ObservedSearcher, code: str) -> None:
        """Give up what is idle as well: it may stay silent when new connections work again."""
        self._set_down(observed, code)
        for conn in list(self._lane(observed).idle):
            self._drop(conn)

    def _set_down(
        self, observed: ObservedSearcher, code: str, but: Connection | None = None
    ) -> None:
        """Note that a searcher can't be reached; what was not sent to it yet goes elsewhere."""
        observed.on_unreachable()
        self._turn_away(self._lane(observed), Why.UNREACHABLE)
        opening = [c for c in self._conns.values() if c.searcher is observed and not c.is_open]
        for conn in opening:
            if conn is but:
                continue
            if conn.exchanging is None:
                self._drop(conn)
            else:
                self._fail(conn, NotRun(Why.UNREACHABLE), code)

    def _turn_away(self, lane: Lane, why: Why) -> None:
        """Tell all that wait for a connection that it was not run."""
        while (exchanging := lane.next_waiting()) is not None:
            self._withdraw(exchanging, why)

    def _withdraw(self, exchanging: Exchanging, why: Why) -> None:
        exchanging.exchange.searcher.on_withdrawn(exchanging.number)
        self._timers.after(0, lambda: self._tell(exchanging, NotRun(why)))

    def _tell(self, exchanging: Exchanging, outcome: Outcome) -> None:
        if not exchanging.over:
            exchanging.over = True
            exchanging.tell(outcome)

    def _drop(self, conn: Connection) -> None:
        if self._conns.pop(conn.link, None) is None:
            return
        observed = conn.searcher
        lane = self._lane(observed)
        lane.count -= 1
        if not conn.is_open:
            lane.opening -= 1
        if conn in lane.idle:
            lane.idle.remove(conn)
        self._links.abort(conn.link)
        waiting = self._next_sendable(lane, self._timers.now_ms())
        if waiting is not None:
            self._open(observed, lane, waiting)
        elif not lane.count:
            del self._lanes[observed.start]
