"""Client side of delegation: requests to other entries."""

import itertools
import random

from circuits import BaseComponent
from msgspec.structs import replace

from rhubarbhinge.delegation._capacity_split import SplitCandidate, near_best
from rhubarbhinge.delegation._client_state import (
    Call,
    Link,
    OnGivenUp,
    OnReply,
    split_candidates,
)
from rhubarbhinge.delegation._domain_capacities import DomainCapacities
from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._messages import (
    AttemptGrant,
    AttemptRequest,
    DelegateAccepted,
    DelegateCancel,
    DelegateReply,
    DelegateRequest,
    Message,
)
from rhubarbhinge.fleet import DomainReachability
from rhubarbhinge.gather import AttemptReport, GrantAttempts
from rhubarbhinge.members import UNKNOWN_CAPACITY, Member, Membership, VmCapacity
from rhubarbhinge.net import CloseReason, FrameError, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService

ACCEPT_TIMEOUT_MS = 30.0
"""Timeout for the acceptance of a request, which takes a round trip of 2 to 3 ms."""
REPLY_MARGIN_MS = 6.0
"""A delegate is asked to reply this much before its reply is needed, to allow for the transfer
between the domains and for processing time at both ends."""
CONNECT_TIMEOUT_MS = 350.0
"""Timeout for connecting to an entry, the same as to a searcher."""
FAILURE_BACKOFF_MS = 1_500.0
"""An entry that failed gets no requests for this long; a restart takes about a second."""

LINKS_PER_DOMAIN = 6
"""Entries of a failure domain that this one sends requests to: the number that 90 shards are split
evenly among, plus one spare. Different entries use different ones, which balances the load, and the
number of links does not grow with the fleet."""
REPLY_GRACE_MS = 25.0
"""A delegate that has accepted a request replies with its results so far when the reply is due. If
it has not replied this long after, it is stalled and its shards are searched in another way. Twice
the usual lag of a busy entry, plus a round trip."""
GIVEN_UP_TIMEOUT_MS = 2_000.0
"""Time for which the reply to the cancellation of a request that was not accepted is awaited,
unless the search ends before. Links to unreachable hosts are closed sooner. The limit is for
processes that hang, and for earlier releases, which never reply."""
UNREACHABLE_REASONS = (CloseReason.SILENT, CloseReason.CONNECT_TIMEOUT)
"""Close reasons of links to unreachable hosts; a process that exits closes its links otherwise."""


class DelegateCall:
    """Handle of a request in progress.

    :param client: the client.
    :param number: the request's number.
    :ivar on_given_up: called if the request is not accepted in time and the delegate may still
        reply that it has not begun; None to report the failure at once.
    """

    __slots__ = ("_client", "_number", "on_given_up")

    def __init__(self, client: "DelegateClient", number: int):
        self._client = client
        self._number = number
        self.on_given_up: OnGivenUp | None = None

    def cancel(self) -> None:
        """Cancel the request; the delegate cancels its attempts at searchers."""
        self._client.cancel(self._number)

    def grant(self, services: tuple[str, ...]) -> None:
        """Grant one more attempt at each of some shards.

        :param services: the shards.
        """
        self._client.grant(self._number, services)


class DelegateClient(BaseComponent):
    """Sends search requests to other entries, over one link to each.

    :param timers: the timer service.
    :param membership: the other entries; is informed of those that respond.
    :param port: port on which entries accept requests.
    :param rng: randomizes the choice of entries.
    :param reachability: is informed of responding failure domains and of unreachable entries.
    :ivar capacities: capacities of the entries of each failure domain.
    """

    channel = "delegates"

    def __init__(
        self,
        timers: TimerService,
        membership: Membership,
        port: int,
        rng: random.Random,
        reachability: DomainReachability,
    ):
        super().__init__()
        self._reachability = reachability
        self._timers = timers
        self._membership = membership
        self.capacities = DomainCapacities(membership)
        self._port = port
        self._rng = rng
        self._numbers = itertools.count(1)
        self._by_link: dict[int, Link] = {}
        self._by_ip: dict[str, int] = {}
        self._calls: dict[int, Call] = {}
        self._backoff_until_ms: dict[str, float] = {}
        self._links = Links(
            self._opened, self._received, self._closed, detect_dead_peers=True
        ).register(self)

    @property
    def links(self) -> Links:
        """The connections, for the accounting of buffered bytes."""
        return self._links

    @property
    def sent_bytes(self) -> int:
        """Bytes of requests sent since the start."""
        return self._links.sent_bytes

    def choose(self, failure_domain: str, count: int) -> list[str]:
        """Choose connected entries of a failure domain, and open missing links to others.

        A single one is chosen among those with the most capacity left if the domain is uneven.

        :param failure_domain: the failure domain.
        :param count: maximum number of entries.
        :returns: their IP addresses; fewer than ``count``, or none, if not enough are connected.
        """
        if count <= 0:
            return []
        if count == 1 and self.capacities.is_uneven(failure_domain):
            ready = near_best(self.candidates(failure_domain))
        else:
            ready = [ip for ip in self.prepare(failure_domain) if self._is_open(ip)]
        return self._rng.sample(ready, min(count, len(ready)))

    def candidates(self, failure_domain: str) -> list[SplitCandidate]:
        """Return the connected entries of a failure domain, and open missing links to others.

        :param failure_domain: the failure domain.
        :returns: the entries, in an order that changes only with the membership.
        """
        members = self._prepare(failure_domain)
        now_ms = self._timers.now_ms()
        return split_candidates(members, self._by_ip, self._by_link, self._calls, now_ms)

    def prepare(self, failure_domain: str) -> list[str]:
        """Open the links to entries of a failure domain in advance of the first search.

        :param failure_domain: the failure domain.
        :returns: the IP addresses of the entries in that domain that this one sends requests to.
        """
        return [member.ip for member in self._prepare(failure_domain)]

    def capacity_of(self, ip: str) -> VmCapacity:
        """Return the capacity of an entry when it was last chosen.

        :param ip: its IP address, as returned by :meth:`choose` or :meth:`candidates`.
        :returns: the capacity; unknown if there is no link to it.
        """
        link = self._by_link.get(self._by_ip.get(ip, -1))
        return link.capacity if link is not None else UNKNOWN_CAPACITY

    def send(
        self, ip: str, request: DelegateRequest, on_reply: OnReply, grant: GrantAttempts
    ) -> DelegateCall:
        """Send a request to an entry.

        :param ip: its IP address, as returned by :meth:`choose`.
        :param request: the request; its number is assigned here.
        :param on_reply: called with the results, not before this method returns.
        :param grant: decides on further attempts that the delegate requests.
        :returns: a handle to cancel the request.
        """
        number = next(self._numbers)
        link = self._by_ip[ip]
        timer = self._timers.after(ACCEPT_TIMEOUT_MS, lambda: self._on_timeout(number, "not-taken"))
        now_ms = self._timers.now_ms()
        due_ms = now_ms + request.reply_after_ms + REPLY_GRACE_MS
        handle = DelegateCall(self, number)
        self._calls[number] = Call(
            handle,
            link,
            ip,
            request.request_id,
            on_reply,
            grant,
            timer,
            now_ms,
            due_ms,
            len(request.services),
        )
        try:
            self._send(link, replace(request, number=number))
        except FrameError:
            self._timers.after(0, lambda: self._return_unsent(number, request.services))
            return handle
        # Flushed before connections to the searchers of this entry's own shards are opened, which
        # would take up most of the time within which the request has to be accepted.
        self._links.flush(link)
        return handle

    def cancel(self, number: int) -> None:
        """Cancel a request.

        :param number: the request's number.
        """
        call = self._calls.pop(number, None)
        if call is not None:
            call.timer.cancel()
            if not call.is_given_up:
                self._send(call.link, DelegateCancel(number))

    def grant(self, number: int, services: tuple[str, ...]) -> None:
        """Grant one more attempt at each of some shards of a request.

        :param number: the request's number.
        :param services: the shards.
        """
        call = self._calls.get(number)
        if call is not None:
            self._send(call.link, AttemptGrant(number, services))

    def _prepare(self, failure_domain: str) -> list[Member]:
        """Return the first entries without a recent failure, and open missing links to them."""
        now_ms = self._timers.now_ms()
        healthy = (
            member
            for member in self.capacities.ranked(failure_domain)
            if self._backoff_until_ms.get(member.ip, 0.0) <= now_ms
        )
        linked = list(itertools.islice(healthy, LINKS_PER_DOMAIN))
        for member in linked:
            if member.ip not in self._by_ip:
                self._open(member.ip, failure_domain)
            link = self._by_link.get(self._by_ip.get(member.ip, -1))
            if link is not None:
                link.capacity = member.capacity
        return linked

    def _is_open(self, ip: str) -> bool:
        link = self._by_link.get(self._by_ip.get(ip, -1))
        return link is not None and link.is_open

    def _open(self, ip: str, failure_domain: str) -> None:
        number = self._links.open(ip, self._port, CONNECT_TIMEOUT_MS)
        self._by_ip[ip] = number
        self._by_link[number] = Link(ip, failure_domain, LinkCodec())

    def _opened(self, link: int, inbound: bool) -> None:
        self._by_link[link].is_open = True

    def _received(self, link: int, data: bytes) -> None:
        state = self._by_link.get(link)
        if state is None:
            return
        self._reachability.on_heard(state.failure_domain)
        self._membership.on_domain_contact(state.failure_domain)
        try:
            for message in state.codec.feed(data):
                self._on_message(message)
        except FrameError as error:
            log_event("delegate-link-refused", level="error", ip=state.ip, code=error.code)
            self._links.abort(link)

    def _send(self, link: int, message: Message) -> None:
        state = self._by_link.get(link)
        if state is not None:
            self._links.send(link, state.codec.encode(message))

    def _on_message(self, message: object) -> None:
        call = self._calls.get(getattr(message, "number", 0))
        if call is None:
            return
        if call.is_given_up:
            self._on_message_after_giving_up(call, message)
            return
        call.timer.cancel()
        if isinstance(message, DelegateReply):
            call.replied = True
            call.pending_shards = len(message.pending)
            if not message.pending:
                del self._calls[message.number]
            call.on_reply(message)
        elif isinstance(message, AttemptRequest):
            report = AttemptReport(message.ended, message.replied)
            granted = call.grant(message.services, report)
            if granted:
                self._send(call.link, AttemptGrant(message.number, granted))
        elif isinstance(message, DelegateAccepted):
            link = self._by_link.get(call.link)
            if link is not None:
                link.load.report(message.number, message.sub_queries, self._timers.now_ms())
        else:
            raise FrameError("malformed", "unexpected message from a delegate")
        if not call.replied:
            left_ms = call.due_ms - self._timers.now_ms()
            number = message.number
            call.timer = self._timers.after(left_ms, lambda: self._on_timeout(number, "silent"))

    def _on_message_after_giving_up(self, call: Call, message: Message) -> None:
        """Process a message about a request that was given up before it was accepted.

        An acceptance alone does not show that the delegate has begun: one that is held up reads the
        request together with its cancellation.
        """
        if isinstance(message, DelegateAccepted):
            return
        never_ran = isinstance(message, DelegateReply) and not (
            message.may_have_run or message.services or message.pending
        )
        if never_ran:
            self._settle(message.number, "not-begun", message)
        else:
            self._settle(message.number, "begun")

    def _settle(self, number: int, outcome: str, reply: DelegateReply | None = None) -> None:
        """Report the result of a request that was given up."""
        call = self._calls.pop(number)
        call.timer.cancel()
        log_event(
            "delegate-settled",
            request=call.request_id,
            ip=call.ip,
            outcome=outcome,
            shards=len(reply.untried) if reply is not None else 0,
            after_ms=round(self._timers.now_ms() - call.sent_ms, 1),
        )
        call.on_reply(reply)

    def _on_timeout(self, number: int, code: str) -> None:
        """Process pending input before a request times out.

        Due timers run first in an iteration of the event loop. After a long iteration, such as one
        that opens connections to many searchers, the awaited message may have arrived unread.
        """
        call = self._calls.get(number)
        if call is not None:
            call.timer = self._timers.after(0, lambda: self._time_out(number, code))

    def _time_out(self, number: int, code: str) -> None:
        call = self._calls.get(number)
        if call is None:
            return
        on_given_up = call.handle.on_given_up
        if code != "not-taken" or on_given_up is None:
            self._send(call.link, DelegateCancel(number))
            self._fail(number, code)
            return
        self._send(call.link, DelegateCancel(number, wants_reply=True))
        call.is_given_up = True
        call.pending_shards = 0
        call.timer = self._timers.after(
            GIVEN_UP_TIMEOUT_MS, lambda: self._settle(number, "timeout")
        )
        self._on_failure(call, code)
        on_given_up()

    def _closed(self, link: int, reason: CloseReason) -> None:
        state = self._by_link.pop(link)
        if self._by_ip.get(state.ip) == link:
            del self._by_ip[state.ip]
        self._back_off(state.ip)
        if reason in UNREACHABLE_REASONS:
            self._reachability.on_unreachable(state.failure_domain, state.ip)
        for number in [n for n, call in self._calls.items() if call.link == link]:
            self._fail(number, reason.value)

    def _return_unsent(self, number: int, services: tuple[str, ...]) -> None:
        """Report that a request was too long to be sent."""
        call = self._calls.pop(number, None)
        if call is None:
            return
        call.timer.cancel()
        log_event("delegate-request-too-long", level="error", request=call.request_id, ip=call.ip)
        call.on_reply(DelegateReply(number, (), (), services, (), False, b""))

    def _fail(self, number: int, code: str) -> None:
        call = self._calls.get(number)
        if call is None:
            # The failure of one request made the search cancel its other requests.
            return
        if call.is_given_up:
            self._settle(number, code)
            return
        del self._calls[number]
        call.timer.cancel()
        self._on_failure(call, code)
        call.on_reply(None)

    def _on_failure(self, call: Call, code: str) -> None:
        self._back_off(call.ip)
        log_event(
            "delegate-failed",
            level="warning",
            request=call.request_id,
            ip=call.ip,
            code=code,
            after_ms=round(self._timers.now_ms() - call.sent_ms, 1),
            unsent_bytes=self._links.unsent_bytes(call.link),
        )

    def _back_off(self, ip: str) -> None:
        self._backoff_until_ms[ip] = self._timers.now_ms() + FAILURE_BACKOFF_MS
