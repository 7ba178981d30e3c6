"""The HTTP server."""

import math
from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.net import DEFAULT_MAX_PENDING_BYTES, CloseReason, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerHandle, TimerService
from rhubarbhinge.web._errors import no_memory, too_many_connections
from rhubarbhinge.web._limits import HttpLimits
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._request_parser import Refusal, RequestParser
from rhubarbhinge.web._responder import Responder
from rhubarbhinge.web._response import Response
from rhubarbhinge.web._response_encoding import CONTINUE_RESPONSE, encode_response

FLUSH_MARGIN_MS = 1_000.0
"""Closed connections get this much longer than the idle timeout to take pending data, so that the
check of the idle timeout, which is logged, comes first."""

SMALL_REQUEST_BYTES = 64 * 1024
"""Requests up to this size are never refused for lack of memory; they hardly add to it."""
MAX_UNSENT_BYTES = DEFAULT_MAX_PENDING_BYTES
"""A client that pipelines requests and has not taken more than this of earlier responses is reset.
A single response may have any length."""


class _Connection:
    """State of one client connection.

    :param link: the link of the connection.
    :param parser: parses the requests of the connection.
    """

    __slots__ = (
        "link",
        "parser",
        "responder",
        "request",
        "timer",
        "phase",
        "phase_start_ms",
        "held_bytes",
        "write_timer",
    )

    def __init__(self, link: int, parser: RequestParser):
        self.link = link
        self.parser = parser
        self.responder: Responder | None = None
        self.request: Request | None = None
        self.timer: TimerHandle | None = None
        self.phase = ""
        self.phase_start_ms = 0.0
        self.held_bytes = 0
        self.write_timer: TimerHandle | None = None


class HttpServer(BaseComponent):
    """An HTTP/1.1 server; pipelined requests are handled one at a time, in order.

    A connection on which no byte of a response is taken for the idle timeout is reset; one that is
    read slowly is kept.

    :param timers: the timer service.
    :param handle: called with each complete request and the responder for it.
    :param bind: IP address and port to listen on.
    :param limits: the limits; default values if None.
    :param on_unsent: called when a response could not be written whole.
    :param request_memory_bytes: maximum memory for all requests that are received or in progress;
        a request of more than ``SMALL_REQUEST_BYTES`` that exceeds it is refused.
    :raises OSError: if the port can't be bound.
    """

    channel = "http-server"

    def __init__(
        self,
        timers: TimerService,
        handle: Callable[[Request, Responder], None],
        bind: tuple[str, int],
        limits: HttpLimits | None = None,
        on_unsent: Callable[[], None] = lambda: None,
        request_memory_bytes: float = math.inf,
    ):
        super().__init__()
        self._request_memory_bytes = request_memory_bytes
        self._on_unsent = on_unsent
        self._timers = timers
        self._handle = handle
        self._limits = limits or HttpLimits()
        self._connections: dict[int, _Connection] = {}
        self._open_requests = 0
        self._held_bytes = 0
        self._stopping = False
        self._closes_after_response = False
        self._links = Links(
            self._opened, self._received, self._closed, bind, max_pending_bytes=math.inf
        ).register(self)

    @property
    def links(self) -> Links:
        """The connections, for the accounting of buffered bytes."""
        return self._links

    @property
    def bound_port(self) -> int:
        """The port listened on."""
        return self._links.bound_port

    @property
    def open_requests(self) -> int:
        """Number of requests passed to the handler and neither answered nor abandoned yet."""
        return self._open_requests

    @property
    def held_bytes(self) -> int:
        """Memory of the requests that are being received or in progress."""
        return self._held_bytes

    @property
    def sent_bytes(self) -> int:
        """Total size of responses since the start, in bytes."""
        return self._links.sent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes not written yet; a graceful stop waits until it is 0."""
        return self._links.pending_bytes

    def set_limits(self, limits: HttpLimits) -> None:
        """Change the limits, also for open connections.

        Higher limits apply at once, lower sizes to requests and lower timeouts to waits that begin
        from now on.

        :param limits: the new limits.
        """
        if limits == self._limits:
            return
        self._limits = limits
        for connection in self._connections.values():
            connection.parser.set_limits(limits)

    def close_after_responses(self, closes: bool) -> None:
        """Set whether connections are closed after their next response.

        :param closes: whether they are closed.
        """
        self._closes_after_response = closes

    def begin_closing(self) -> None:
        """Close idle connections now and all others after their next response; keep listening."""
        self._stopping = True
        for connection in list(self._connections.values()):
            if connection.phase == "idle":
                self._close(connection)

    def stop_listening(self) -> None:
        """Accept no more connections, and close open ones after their next response."""
        self._stopping = True
        self._links.stop_listening()

    def _opened(self, link: int, inbound: bool) -> None:
        if len(self._connections) >= self._limits.connections:
            self._links.send(link, encode_response(too_many_connections(), None, True))
            self._links.close(link)
            return
        parser = RequestParser(
            self._limits, self._links.peer_ip(link), self._links.round_trip_ms(link)
        )
        connection = _Connection(link, parser)
        self._connections[link] = connection
        self._start_phase(connection, "header")

    def _received(self, link: int, data: bytes) -> None:
        connection = self._connections.get(link)
        if connection is None:
            return
        connection.parser.feed(data)
        if connection.responder is None:
            self._process_input(connection)
        else:
            self._account(connection)
        if connection.responder is not None and connection.parser.is_read_ahead_exceeded:
            self._abort(connection)

    def _closed(self, link: int, reason: CloseReason) -> None:
        connection = self._connections.get(link)
        if connection is not None:
            self._forget(connection)

    def _process_input(self, connection: _Connection) -> None:
        outcome = connection.parser.next()
        self._account(connection)
        if not isinstance(outcome, Refusal):
            outcome = self._check_memory(connection) or outcome
        if isinstance(outcome, Refusal):
            self._reject(connection, outcome.response)
        elif outcome is not None:
            self._dispatch(connection, outcome)
        elif connection.parser.reading_body:
            self._start_phase(connection, "body")
            if connection.parser.take_expect_continue():
                self._links.send(connection.link, CONTINUE_RESPONSE)
        elif connection.parser.started:
            self._start_phase(connection, "header")
        else:
            self._start_phase(connection, "idle")

    def _account(self, connection: _Connection) -> None:
        """Update the memory that a connection's request takes."""
        self._held_bytes -= connection.held_bytes
        connection.held_bytes = connection.parser.held_bytes
        self._held_bytes += connection.held_bytes

    def _check_memory(self, connection: _Connection) -> Refusal | None:
        """Refuse a request that exceeds the memory for all of them."""
        is_small = connection.held_bytes <= SMALL_REQUEST_BYTES
        if is_small or self._held_bytes <= self._request_memory_bytes:
            return None
        log_event(
            "request-exceeds-memory",
            level="warning",
            ip=self._links.peer_ip(connection.link),
            request_bytes=connection.held_bytes,
            held_bytes=self._held_bytes,
        )
        return Refusal(no_memory())

    def _dispatch(self, connection: _Connection, request: Request) -> None:
        if self._links.has_peer_closed(connection.link):
            # The close is reported next; don't start work for a client that has disconnected.
            return
        self._end_phase(connection)
        connection.request = request
        connection.responder = Responder(lambda response: self._send_response(connection, response))
        self._open_requests += 1
        self._handle(request, connection.responder)

    def _send_response(self, connection: _Connection, response: Response) -> None:
        unsent_bytes = self._links.unsent_bytes(connection.link)
        if unsent_bytes > MAX_UNSENT_BYTES:
            self._log_slow_reader(connection, unsent_bytes, "unread-responses")
            self._reset(connection)
            return
        self._open_requests -= 1
        parser = connection.parser
        reusable = parser.reusable and not self._stopping and not self._closes_after_response
        data = encode_response(
            response, connection.request, not reusable, self._limits.gzip_min_bytes
        )
        self._links.send(connection.link, data)
        # Other work in this loop iteration would delay the response if it were written at the end.
        self._links.flush(connection.link)
        connection.responder = None
        connection.request = None
        if self._links.unsent_bytes(connection.link):
            self._watch_write(connection)
        if not reusable:
            self._close(connection)
            return
        parser.finish()
        self._account(connection)
        if parser.started:
            self._timers.after(0, lambda: self._process_next(connection))
        else:
            self._start_phase(connection, "idle")

    def _watch_write(self, connection: _Connection) -> None:
        """Reset the connection if nothing of its responses is taken for the idle timeout."""
        if connection.write_timer is None:
            self._check_write_after(connection, self._limits.idle_timeout_ms)
        self._on_unsent()

    def _check_write_after(self, connection: _Connection, delay_ms: float) -> None:
        connection.write_timer = self._timers.after(delay_ms, lambda: self._check_write(connection))

    def _check_write(self, connection: _Connection) -> None:
        connection.write_timer = None
        unread_bytes = self._links.unsent_bytes(connection.link)
        if not unread_bytes:
            return
        quiet_ms = self._links.quiet_ms(connection.link)
        left_ms = self._limits.idle_timeout_ms - quiet_ms
        if left_ms > 0:
            self._check_write_after(connection, left_ms)
            return
        self._log_slow_reader(connection, unread_bytes, "idle-timeout")
        self._reset(connection)

    def _log_slow_reader(self, connection: _Connection, unread_bytes: int, why: str) -> None:
        quiet_ms = self._links.quiet_ms(connection.link)
        log_event(
            "slow-reader-closed",
            level="warning",
            kind="responses",
            ip=self._links.peer_ip(connection.link),
            unread_bytes=unread_bytes,
            quiet_ms=round(quiet_ms) if math.isfinite(quiet_ms) else 0,
            why=why,
        )

    def _process_next(self, connection: _Connection) -> None:
        if connection.link in self._connections and connection.responder is None:
            self._process_input(connection)

    def _on_timeout(self, connection: _Connection) -> None:
        # The timeout may have been raised since the wait began.
        waited_ms = self._timers.now_ms() - connection.phase_start_ms
        if connection.phase == "idle":
            # The response is still being read, or was until recently.
            waited_ms = min(waited_ms, self._links.quiet_ms(connection.link))
        left_ms = self._timeout_ms(connection.phase) - waited_ms
        if left_ms > 0:
            self._time_out_after(connection, left_ms)
        else:
            self._close(connection)

    def _reject(self, connection: _Connection, response: Response) -> None:
        self._links.send(connection.link, encode_response(response, None, True))
        self._close(connection)

    def _close(self, connection: _Connection) -> None:
        self._forget(connection)
        self._links.close(connection.link, self._limits.idle_timeout_ms + FLUSH_MARGIN_MS)

    def _reset(self, connection: _Connection) -> None:
        self._forget(connection)
        self._links.reset(connection.link)

    def _abort(self, connection: _Connection) -> None:
        self._forget(connection)
        self._links.abort(connection.link)

    def _forget(self, connection: _Connection) -> None:
        if self._connections.pop(connection.link, None) is not None:
            self._held_bytes -= connection.held_bytes
        self._abandon_request(connection)

    def _abandon_request(self, connection: _Connection) -> None:
        self._end_phase(connection)
        responder, connection.responder = connection.responder, None
        if responder is not None:
            self._open_requests -= 1
            responder.abandon()

    def _start_phase(self, connection: _Connection, phase: str) -> None:
        if connection.phase == phase:
            return
        self._end_phase(connection)
        connection.phase = phase
        connection.phase_start_ms = self._timers.now_ms()
        self._time_out_after(connection, self._timeout_ms(phase))

    def _timeout_ms(self, phase: str) -> float:
        if phase == "idle":
            return self._limits.idle_timeout_ms
        return self._limits.body_timeout_ms if phase == "body" else self._limits.header_timeout_ms

    def _time_out_after(self, connection: _Connection, timeout_ms: float) -> None:
        connection.timer = self._timers.after(timeout_ms, lambda: self._on_timeout(connection))

    def _end_phase(self, connection: _Connection) -> None:
        if connection.timer is not None:
            connection.timer.cancel()
        connection.timer = None
        connection.phase = ""
