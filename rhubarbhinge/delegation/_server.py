"""Server side of delegation: searches on behalf of other entries."""

import math
from collections.abc import Callable

from circuits import BaseComponent
from msgspec import Struct, field
from msgspec.structs import replace

from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._messages import (
    AttemptGrant,
    AttemptRequest,
    DelegateAccepted,
    DelegateCancel,
    DelegateReply,
    DelegateRequest,
)
from rhubarbhinge.delegation._remote_attempt_control import RemoteAttemptControl
from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallContext, CallerRequest, CallTerms, RequestTrace, SearcherReply
from rhubarbhinge.gather import AttemptReport, ShardCalls, ShardOutcome, merge_greatest
from rhubarbhinge.net import CloseReason, FrameError, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerHandle, TimerService

TermsOf = Callable[[DelegateRequest, Delays], CallTerms]
"""Returns the limits and deadlines of the calls for a request."""


class _Link(Struct, eq=False):
    """State of a link."""

    codec: LinkCodec = field(default_factory=LinkCodec)
    searches: dict[int, "_DelegatedSearch"] = field(default_factory=dict)


class DelegateServer(BaseComponent):
    """Searches shards on behalf of entries in other failure domains.

    :param timers: the timer service.
    :param context: state shared by all requests.
    :param terms_of: returns the limits and deadlines of the calls for a request.
    :param delays_of: returns the recent reply times on a route with a given latency objective.
    :param bind: IP address and port to listen on.
    :param sub_queries: returns the number of sub-queries in progress at searchers, which is
        reported to requesting entries.
    :raises OSError: when the port cannot be bound.
    """

    channel = "ask-server"

    def __init__(
        self,
        timers: TimerService,
        context: CallContext,
        terms_of: TermsOf,
        delays_of: Callable[[str, float], Delays],
        bind: tuple[str, int],
        sub_queries: Callable[[], int] = lambda: 0,
    ):
        super().__init__()
        self._timers = timers
        self._context = context
        self._terms_of = terms_of
        self._delays_of = delays_of
        self._sub_queries = sub_queries
        self._unstarted_sub_queries = 0
        self._latest_deadline_ms = math.inf
        self._by_link: dict[int, _Link] = {}
        self._links = Links(self._opened, self._received, self._closed, bind).register(self)

    @property
    def active_requests(self) -> int:
        """Number of requests in progress, which a graceful shutdown waits for."""
        return sum(len(link.searches) for link in self._by_link.values())

    @property
    def links(self) -> Links:
        """The connections, for the accounting of buffered bytes."""
        return self._links

    @property
    def sent_bytes(self) -> int:
        """Bytes of replies sent since the start."""
        return self._links.sent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that are queued for sending."""
        return self._links.pending_bytes

    def limit_deadlines(self, latest_ms: float) -> None:
        """Complete all requests by a given time, those in progress and later ones.

        :param latest_ms: time by which this entry has to reply, as it shuts down.
        """
        self._latest_deadline_ms = latest_ms
        for link in self._by_link.values():
            for search in link.searches.values():
                search.end_at(latest_ms)

    def _opened(self, link: int, inbound: bool) -> None:
        self._by_link[link] = _Link()

    def _closed(self, link: int, reason: CloseReason) -> None:
        for search in self._by_link.pop(link).searches.values():
            search.cancel()

    def _received(self, link: int, data: bytes) -> None:
        state = self._by_link.get(link)
        if state is None:
            return
        try:
            for message in state.codec.feed(data):
                self._on_message(link, state, message)
        except FrameError as error:
            log_event("ask-link-refused", level="error", code=error.code)
            self._links.abort(link)

    def _on_message(self, link: int, state: _Link, message: object) -> None:
        if isinstance(message, DelegateRequest):
            in_progress = self._sub_queries() + self._unstarted_sub_queries
            self._send(link, DelegateAccepted(message.number, in_progress))
            self._links.flush(link)
            delays = self._delays_of(message.route, message.target_latency_ms)
            search = _DelegatedSearch(
                self._context,
                message,
                self._terms_of(message, delays),
                delays,
                lambda reply: self._send_reply(link, state, reply),
                lambda services, report: self._send(
                    link, AttemptRequest(message.number, services, report.ended, report.replied)
                ),
            )
            state.searches[message.number] = search
            if math.isfinite(self._latest_deadline_ms):
                search.end_at(self._latest_deadline_ms)
            # Messages received together with this one are processed first, as opening connections
            # takes up to 20 ms per request, which would delay the acceptance of the others.
            self._unstarted_sub_queries += len(message.services)
            self._timers.after(0, lambda: self._start(search, len(message.services)))
        elif isinstance(message, DelegateCancel):
            search = state.searches.pop(message.number, None)
            if search is not None:
                search.cancel()
                if message.wants_reply:
                    self._send(link, search.cancellation_reply())
        elif isinstance(message, AttemptGrant):
            search = state.searches.get(message.number)
            if search is not None:
                search.attempts.grant(message.services)
        else:
            raise FrameError("malformed", "unexpected message from a requesting entry")

    def _start(self, search: "_DelegatedSearch", sub_queries: int) -> None:
        self._unstarted_sub_queries -= sub_queries
        search.start()

    def _send_reply(self, link: int, state: _Link, reply: DelegateReply) -> None:
        if reply.number in state.searches:
            if not reply.pending:
                del state.searches[reply.number]
            try:
                self._send(link, reply)
            except FrameError:
                # Shards that are neither untried nor pending count as failed.
                self._send(link, replace(reply, services=(), signatures=(), body=b""))
                log_event(
                    "delegate-reply-too-long",
                    level="error",
                    parts=len(reply.services),
                    body_bytes=len(reply.body),
                )

    def _send(self, link: int, message: DelegateAccepted | DelegateReply | AttemptRequest) -> None:
        state = self._by_link.get(link)
        if state is not None:
            self._links.send(link, state.codec.encode(message))


class _DelegatedSearch:
    """A delegated search in progress.

    :param context: state shared by all requests.
    :param request: the request.
    :param terms: limits and deadlines of the call to each shard.
    :param delays: recent reply times of a single shard on the route.
    :param on_reply: called with the results when the reply is due, and with later ones after that.
    :param request_attempts: requests further attempts and reports the progress of earlier ones.
    :ivar attempts: permissions for further attempts.
    """

    def __init__(
        self,
        context: CallContext,
        request: DelegateRequest,
        terms: CallTerms,
        delays: Delays,
        on_reply: Callable[[DelegateReply], None],
        request_attempts: Callable[[tuple[str, ...], AttemptReport], None],
    ):
        self._context = context
        self._request = request
        self._on_reply = on_reply
        self._parts: dict[str, SearcherReply] = {}
        self._untried: list[str] = []
        self._failed: list[str] = []
        self._may_have_run = False
        self._reply_due = False
        self._reported = False
        self._cancelled = False
        self._started = False
        caller_request = CallerRequest(
            request.request_id, request.head, request.body, request.left_ms
        )
        self._trace = RequestTrace(request.request_id, context.timers.now_ms)
        self.attempts = RemoteAttemptControl(context.timers, request_attempts)
        terms = replace(terms, control=self.attempts)
        self._calls = ShardCalls(
            context, caller_request, terms, delays, self._on_shard_end, self._trace
        )
        self._due_ms = context.timers.now_ms() + request.reply_after_ms
        self._timer: TimerHandle | None = None
        self._end_timer: TimerHandle | None = None

    def start(self) -> None:
        """Send the request to the shards, unless the search was cancelled in the meantime."""
        if self._cancelled:
            return
        self._started = True
        timers = self._context.timers
        self._timer = timers.after(self._due_ms - timers.now_ms(), self._on_reply_due)
        if not self._request.searcher:
            self._context.budget.on_request(self._request.services)
        self._calls.start(self._request.services)

    def end_at(self, time_ms: float) -> None:
        """Reply at the latest at a given time, with the results received until then.

        :param time_ms: the time.
        """
        timers = self._context.timers
        self._end_timer = timers.after(max(0.0, time_ms - timers.now_ms()), self._end)

    def cancel(self) -> None:
        """Cancel the attempts at searchers."""
        self._cancelled = True
        self._cancel_timers()
        self._calls.cancel()

    def cancellation_reply(self) -> DelegateReply:
        """Return the reply to the cancellation: all shards are untried if the search never started.

        :returns: the reply; a search that started reports that it may have run, as cancelled
            requests may still reach searchers.
        """
        untried = () if self._started else self._request.services
        return DelegateReply(self._request.number, (), (), untried, (), self._started, b"")

    def _end(self) -> None:
        if not self._started:
            self._cancelled = True
            self._on_reply(self.cancellation_reply())
            return
        for outcome in self._calls.end():
            self._record(outcome)
        self._send_reply()

    def _cancel_timers(self) -> None:
        for timer in (self._timer, self._end_timer):
            if timer is not None:
                timer.cancel()

    def _on_shard_end(self, end: ShardOutcome) -> None:
        self._record(end)
        if self._reply_due or not self._calls.pending_count:
            self._send_reply()

    def _record(self, end: ShardOutcome) -> None:
        self._may_have_run = self._may_have_run or end.may_have_run
        if end.reply is not None:
            self._parts[end.service] = end.reply
        elif not end.arrived:
            self._untried.append(end.service)
        else:
            self._failed.append(end.service)

    def _on_reply_due(self) -> None:
        self._reply_due = True
        self._send_reply()

    def _send_reply(self) -> None:
        """Send the results that have not been sent yet."""
        self.attempts.flush()
        parts, self._parts = self._parts, {}
        untried, self._untried = self._untried, []
        failed, self._failed = self._failed, []
        pending = self._calls.services
        missing = {*pending, *failed}
        if missing:
            if not self._reported:
                self._trace.write_log(frozenset(missing))
            self._reported = True
            log_event(
                "ask-answered",
                request=self._request.request_id,
                route=self._request.route,
                parts=len(parts),
                without=",".join(sorted(missing)),
                pending=len(pending),
            )
        if not pending:
            self._cancel_timers()
        self._on_reply(
            DelegateReply(
                self._request.number,
                tuple(parts),
                tuple(reply.signature for reply in parts.values()),
                tuple(untried),
                pending,
                self._may_have_run or self._calls.may_have_run,
                merge_greatest((reply.body for reply in parts.values()), self._request.top_k),
            )
        )
