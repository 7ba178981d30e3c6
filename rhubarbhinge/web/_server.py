"""The HTTP server."""

from collections.abc import Callable

from circuits import BaseComponent

from rhubarbhinge.net import CloseReason, Links
from rhubarbhinge.timing import Subscription, TimerService
from rhubarbhinge.web._errors import too_many_connections
from rhubarbhinge.web._limits import HttpLimits
from rhubarbhinge.web._parser import Refusal, RequestParser
from rhubarbhinge.web._request import Request
from rhubarbhinge.web._responder import Responder
from rhubarbhinge.web._response import Response
from rhubarbhinge.web._response_writing import CONTINUE, encode_response


class _Caller:
    """State of one caller's connection.

    :param link: its link.
    :param parser: reads its requests.
    """

    __slots__ = ("link", "parser", "responder", "request", "timer", "timing")

    def __init__(self, link: int, parser: RequestParser):
        self.link = link
        self.parser = parser
        self.responder: Responder | None = None
        self.request: Request | None = None
        self.timer: Subscription | None = None
        self.timing = ""


class HttpServer(BaseComponent):
    """Serves HTTP/1.1; pipelined requests are answered one at a time, in order.

    :param timers: the timer service.
    :param handle: called with each whole request and the handle to answer it by.
    :param bind: IP address and port to listen at.
    :param limits: what is granted to callers.
    :raises OSError: when the port can not be bound.
    """

    channel = "http-server"

    def __init__(
        self,
        timers: TimerService,
        handle: Callable[[Request, Responder], None],
        bind: tuple[str, int],
        limits: HttpLimits | None = None,
    ):
        super().__init__()
        self._timers = timers
        self._handle = handle
        self._limits = limits or HttpLimits()
        self._callers: dict[int, _Caller] = {}
        self._open_requests = 0
        self._stopping = False
        self._closes = False
        self._links = Links(self._opened, self._received, self._closed, bind).register(self)

    @property
    def bound_port(self) -> int:
        """The port listened at."""
        return self._links.bound_port

    @property
    def open_requests(self) -> int:
        """How many requests have been handed over and not answered or abandoned."""
        return self._open_requests

    @property
    def sent_bytes(self) -> int:
        """Bytes of answers since the start."""
        return self._links.sent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers not written yet; a graceful stop waits until there are none."""
        return self._links.pending_bytes

    def limit(self, limits: HttpLimits) -> None:
        """Grant other limits, to connections that are opened from now on and to waits.

        :param limits: the limits.
        """
        self._limits = limits

    def close_after_answers(self, closes: bool) -> None:
        """Say whether each connection is closed after its next answer.

        :param closes: whether it is.
        """
        self._closes = closes

    def begin_closing(self) -> None:
        """Close idle connections, and each other one after its next answer; go on listening."""
        self._stopping = True
        for caller in list(self._callers.values()):
            if caller.timing == "idle":
                self._close(caller)

    def stop_listening(self) -> None:
        """Accept no more connections; each open one is closed after its next answer."""
        self._stopping = True
        self._links.stop_listening()

    def _opened(self, link: int, inbound: bool) -> None:
        if len(self._callers) >= self._limits.connections:
            self._links.send(link, encode_response(too_many_connections(), None, True))
            self._links.close(link)
            return
        parser = RequestParser(
            self._limits, self._links.peer_ip(link), self._links.round_trip_ms(link)
        )
        caller = _Caller(link, parser)
        self._callers[link] = caller
        self._time(caller, "header", self._limits.header_timeout_ms)

    def _received(self, link: int, data: bytes) -> None:
        caller = self._callers.get(link)
        if caller is None:
            return
        caller.parser.feed(data)
        if caller.responder is None:
            self._read_on(caller)
        if caller.responder is not None and caller.parser.overrun:
            self._abort(caller)

    def _closed(self, link: int, reason: CloseReason) -> None:
        caller = self._callers.pop(link, None)
        if caller is not None:
            self._drop(caller)

    def _read_on(self, caller: _Caller) -> None:
        outcome = caller.parser.next()
        if isinstance(outcome, Refusal):
            self._refuse(caller, outcome.response)
        elif outcome is not None:
            self._hand_over(caller, outcome)
        elif caller.parser.reading_body:
            self._time(caller, "body", self._limits.body_timeout_ms)
            if caller.parser.take_continue():
                self._links.send(caller.link, CONTINUE)
        elif caller.parser.started:
            self._time(caller, "header", self._limits.header_timeout_ms)
        else:
            self._time(caller, "idle", self._limits.idle_timeout_ms)

    def _hand_over(self, caller: _Caller, request: Request) -> None:
        if self._links.has_peer_closed(caller.link):
            # Its close is told next; nothing is begun for a caller that gave up before.
            return
        self._stop_timing(caller)
        caller.request = request
        caller.responder = Responder(lambda response: self._answer(caller, response))
        self._open_requests += 1
        self._handle(request, caller.responder)

    def _answer(self, caller: _Caller, response: Response) -> None:
        self._open_requests -= 1
        parser = caller.parser
        reusable = parser.reusable and not self._stopping and not self._closes
        sent = encode_response(
            response, caller.request, not reusable, self._limits.gzip_least_bytes
        )
        self._links.send(caller.link, sent)
        # At the end of the loop turn it would be late by all that else is done in it.
        self._links.flush(caller.link)
        caller.responder = None
        caller.request = None
        if not reusable:
            self._close(caller)
            return
        parser.finish()
        if parser.started:
            self._timers.after(0, lambda: self._read_next(caller))
        else:
            self._time(caller, "idle", self._limits.idle_timeout_ms)

    def _read_next(self, caller: _Caller) -> None:
        if caller.link in self._callers and caller.responder is None:
            self._read_on(caller)

    def _refuse(self, caller: _Caller, response: Response) -> None:
        self._links.send(caller.link, encode_response(response, None, True))
        self._close(caller)

    def _close(self, caller: _Caller) -> None:
        self._callers.pop(caller.link, None)
        self._drop(caller)
        self._links.close(caller.link)

    def _abort(self, caller: _Caller) -> None:
        self._callers.pop(caller.link, None)
        self._drop(caller)
        self._links.abort(caller.link)

    def _drop(self, caller: _Caller) -> None:
        self._stop_timing(caller)
        responder, caller.responder = caller.responder, None
        if responder is not None:
            self._open_requests -= 1
            responder.abandon()

    def _time(self, caller: _Caller, timing: str, timeout_ms: float) -> None:
        if caller.timing == timing:
            return
        self._stop_timing(caller)
        caller.timing = timing
        caller.timer = self._timers.after(timeout_ms, lambda: self._close(caller))

    def _stop_timing(self, caller: _Caller) -> None:
        if caller.timer is not None:
            caller.timer.cancel()
        caller.timer = None
        caller.timing = ""
