"""Asks of entries of other failure domains."""

from collections.abc import Callable

from circuits import BaseComponent
from msgspec import Struct, field
from msgspec.structs import replace

from rhubarbhinge.delegation._attempt_leave import AttemptLeave
from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._messages import (
    Answer,
    Ask,
    Cancel,
    Leave,
    LeaveWanted,
    Taken,
)
from rhubarbhinge.fleet import Delays
from rhubarbhinge.forward import CallerRequest, CallTerms, SearcherReply, Story, Surroundings
from rhubarbhinge.gather import AttemptReport, ShardCalls, ShardOutcome, merge_greatest
from rhubarbhinge.net import CloseReason, FrameError, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerHandle, TimerService

TermsOf = Callable[[Ask, Delays], CallTerms]
"""Gives what is granted to the calls of an ask."""


class _Link(Struct, eq=False):
    """State of one link."""

    codec: LinkCodec = field(default_factory=LinkCodec)
    searches: dict[int, "_Search"] = field(default_factory=dict)


class AskServer(BaseComponent):
    """Searches shards for entries of other failure domains.

    :param timers: the timer service.
    :param surroundings: what requests share.
    :param terms_of: gives what is granted to the calls of an ask.
    :param delays_of: gives the usual delays on a route with a latency objective.
    :param bind: IP address and port to listen at.
    :raises OSError: when the port can not be bound.
    """

    channel = "ask-server"

    def __init__(
        self,
        timers: TimerService,
        surroundings: Surroundings,
        terms_of: TermsOf,
        delays_of: Callable[[str, float], Delays],
        bind: tuple[str, int],
    ):
        super().__init__()
        self._timers = timers
        self._around = surroundings
        self._terms_of = terms_of
        self._delays_of = delays_of
        self._by_link: dict[int, _Link] = {}
        self._links = Links(self._opened, self._received, self._closed, bind).register(self)

    @property
    def open_asks(self) -> int:
        """How many asks are being worked on; a graceful stop waits for them."""
        return sum(len(link.searches) for link in self._by_link.values())

    @property
    def sent_bytes(self) -> int:
        """Bytes of answers since the start."""
        return self._links.sent_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers not written yet."""
        return self._links.pending_bytes

    def _opened(self, link: int, inbound: bool) -> None:
        self._by_link[link] = _Link()

    def _closed(self, link: int, reason: CloseReason) -> None:
        for search in self._by_link.pop(link).searches.values():
            search.cancel()

    def _received(self, link: int, data: bytes) -> None:
        found = self._by_link.get(link)
        if found is None:
            return
        try:
            for message in found.codec.feed(data):
                self._take(link, found, message)
        except FrameError as error:
            log_event("ask-link-refused", level="error", code=error.code)
            self._links.abort(link)

    def _take(self, link: int, found: _Link, message: object) -> None:
        if isinstance(message, Ask):
            self._send(link, Taken(message.number))
            self._links.flush(link)
            delays = self._delays_of(message.route, message.target_latency_ms)
            search = _Search(
                self._around,
                message,
                self._terms_of(message, delays),
                delays,
                lambda answer: self._answer(link, found, answer),
                lambda services, news: self._send(
                    link, LeaveWanted(message.number, services, news.ended, news.replied)
                ),
            )
            found.searches[message.number] = search
            # All that came with it is read first: opening connections takes up to 20 ms an ask, in
            # which others would wait for the sign that theirs is taken.
            self._timers.after(0, search.start)
        elif isinstance(message, Cancel):
            search = found.searches.pop(message.number, None)
            if search is not None:
                search.cancel()
        elif isinstance(message, Leave):
            search = found.searches.get(message.number)
            if search is not None:
                search.leave.grant(message.services)
        else:
            raise FrameError("malformed", "entries that ask don't answer")

    def _answer(self, link: int, found: _Link, answer: Answer) -> None:
        if answer.number in found.searches:
            if not answer.pending:
                del found.searches[answer.number]
            self._send(link, answer)

    def _send(self, link: int, message: Taken | Answer | LeaveWanted) -> None:
        found = self._by_link.get(link)
        if found is not None:
            self._links.send(link, found.codec.encode(message))


class _Search:
    """One ask that is being worked on.

    :param surroundings: what requests share.
    :param ask: what is asked.
    :param terms: what is granted to the call to each shard.
    :param delays: the usual delays of such requests at one shard.
    :param on_answer: told what was found when the answer is due, and what is found after that.
    :param want_leave: told for which shards one more attempt is wanted, and how those before fared.
    :ivar leave: the asking entry's leave to send shards to further searchers.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        ask: Ask,
        terms: CallTerms,
        delays: Delays,
        on_answer: Callable[[Answer], None],
        want_leave: Callable[[tuple[str, ...], AttemptReport], None],
    ):
        self._around = surroundings
        self._ask = ask
        self._on_answer = on_answer
        self._parts: dict[str, SearcherReply] = {}
        self._untried: list[str] = []
        self._failed: list[str] = []
        self._may_have_run = False
        self._due = False
        self._told = False
        self._over = False
        request = CallerRequest(ask.request_id, ask.head, ask.body, ask.left_ms)
        self._story = Story(ask.request_id, surroundings.timers.now_ms)
        self.leave = AttemptLeave(surroundings.timers, want_leave)
        terms = replace(terms, control=self.leave)
        self._calls = ShardCalls(surroundings, request, terms, delays, self._ended, self._story)
        self._due_ms = surroundings.timers.now_ms() + ask.answer_in_ms
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Send to the shards, unless it was cancelled meanwhile."""
        if self._over:
            return
        timers = self._around.timers
        self._timer = timers.after(self._due_ms - timers.now_ms(), self._answer_due)
        if not self._ask.searcher:
            self._around.budget.on_request(self._ask.services)
        self._calls.start(self._ask.services)

    def cancel(self) -> None:
        """Stop the searchers."""
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self._calls.cancel()

    def _ended(self, end: ShardOutcome) -> None:
        self._may_have_run = self._may_have_run or end.may_have_run
        if end.reply is not None:
            self._parts[end.service] = end.reply
        elif not end.arrived:
            self._untried.append(end.service)
        else:
            self._failed.append(end.service)
        if self._due or not self._calls.open:
            self._answer()

    def _answer_due(self) -> None:
        self._due = True
        self._answer()

    def _answer(self) -> None:
        """Tell what was found and has not been told yet."""
        self.leave.say_now()
        parts, self._parts = self._parts, {}
        untried, self._untried = self._untried, []
        failed, self._failed = self._failed, []
        pending = self._calls.services
        missing = {*pending, *failed}
        if missing:
            if not self._told:
                self._story.tell(frozenset(missing))
            self._told = True
            log_event(
                "ask-answered",
                request=self._ask.request_id,
                route=self._ask.route,
                parts=len(parts),
                without=",".join(sorted(missing)),
                pending=len(pending),
            )
        if not pending:
            self._timer.cancel()
        self._on_answer(
            Answer(
                self._ask.number,
                tuple(parts),
                tuple(reply.signature for reply in parts.values()),
                tuple(untried),
                pending,
                self._may_have_run or self._calls.may_have_run,
                merge_greatest((reply.body for reply in parts.values()), self._ask.top_k),
            )
        )
