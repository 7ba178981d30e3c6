"""Asks to entries of other failure domains."""

import itertools
import random
import zlib
from collections.abc import Callable

from circuits import BaseComponent
from msgspec import Struct
from msgspec.structs import replace

from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._messages import (
    Answer,
    Ask,
    Cancel,
    Leave,
    LeaveWanted,
    Message,
    Taken,
)
from rhubarbhinge.fleet import DomainReach
from rhubarbhinge.gather import AttemptReport, GrantAttempts
from rhubarbhinge.members import Member, Membership
from rhubarbhinge.net import CloseReason, FrameError, Links
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerHandle, TimerService

TAKEN_MS = 30.0
"""An ask that has not been taken by then is lost; taking one needs a round trip of 2 to 3 ms."""
ANSWER_MARGIN_MS = 6.0
"""Another entry is to answer so much sooner than its answer is needed, which may cross the domains
and takes both some processor time."""
CONNECT_TIMEOUT_MS = 350.0
"""Longest wait for a connection to an entry, the same as to a searcher."""
BAD_MS = 1_500.0
"""An entry that failed is not asked for so long; a restart takes about a second."""

LINKS_PER_DOMAIN = 6
"""Entries of a failure domain that this one asks: as many as 90 shards are split among, and one to
spare. Each entry asks others, so that the load is even; the links don't grow with the fleet."""
SILENT_MS = 25.0
"""An entry that has taken an ask says what there is when it is due. One that says nothing for so
long after that is held up, and its shards are asked otherwise. Twice the usual lag of a busy entry,
and a round trip."""
SILENCES = (CloseReason.SILENT, CloseReason.CONNECT_TIMEOUT)
"""How links to hosts end that can't be reached; a process that ended shows otherwise."""

OnAnswer = Callable[[Answer | None], None]
"""Told each answer, the last of them without pending shards; or None when the entry failed and the
shards that are left have to be asked otherwise."""


class _Link(Struct, eq=False):
    """State of one link."""

    ip: str
    failure_domain: str
    codec: LinkCodec
    is_open: bool = False


class _Asking(Struct, eq=False):
    """State of one ask."""

    link: int
    ip: str
    request_id: str
    on_answer: OnAnswer
    grant: GrantAttempts
    timer: TimerHandle
    sent_ms: float
    due_ms: float
    answered: bool = False


class Delegate:
    """Handle of an ask under way.

    :param delegates: who asks.
    :param number: the ask.
    """

    __slots__ = ("_delegates", "_number")

    def __init__(self, delegates: "Delegates", number: int):
        self._delegates = delegates
        self._number = number

    def cancel(self) -> None:
        """Give the ask up; the other entry stops its searchers."""
        self._delegates.cancel(self._number)

    def grant(self, services: tuple[str, ...]) -> None:
        """Let shards go to one more searcher.

        :param services: the shards.
        """
        self._delegates.grant(self._number, services)


class Delegates(BaseComponent):
    """Asks entries of other failure domains, one link to each.

    :param timers: the timer service.
    :param membership: which entries there are; told of those that answer.
    :param port: where all entries take asks.
    :param rng: spreads the choice.
    :param reach: told which failure domains are heard from, and which entries can't be reached.
    """

    channel = "delegates"

    def __init__(
        self,
        timers: TimerService,
        membership: Membership,
        port: int,
        rng: random.Random,
        reach: DomainReach,
    ):
        super().__init__()
        self._reach = reach
        self._timers = timers
        self._membership = membership
        self._port = port
        self._rng = rng
        self._numbers = itertools.count(1)
        self._by_link: dict[int, _Link] = {}
        self._by_ip: dict[str, int] = {}
        self._asking: dict[int, _Asking] = {}
        self._bad_until_ms: dict[str, float] = {}
        self._links = Links(
            self._opened, self._received, self._closed, detect_dead_peers=True
        ).register(self)

    @property
    def sent_bytes(self) -> int:
        """Bytes of asks since the start."""
        return self._links.sent_bytes

    def choose(self, failure_domain: str, count: int) -> list[str]:
        """Choose entries of a failure domain, and make links to more of them ready.

        :param failure_domain: the failure domain.
        :param count: how many at most.
        :returns: their IP addresses; fewer or none when there are not enough to ask.
        """
        if count <= 0:
            return []
        ready = [ip for ip in self.prepare(failure_domain) if self._is_open(ip)]
        return self._rng.sample(ready, min(count, len(ready)))

    def prepare(self, failure_domain: str) -> list[str]:
        """Open the links to entries of a failure domain, so that the first search finds them open.

        :param failure_domain: the failure domain.
        :returns: the IP addresses of all entries there that this one asks.
        """
        now_ms = self._timers.now_ms()
        sound = [
            member
            for member in self._membership.live(failure_domain)
            if self._bad_until_ms.get(member.ip, 0.0) <= now_ms
        ]
        found = [member.ip for member in sorted(sound, key=self._rank)[:LINKS_PER_DOMAIN]]
        for ip in found:
            if ip not in self._by_ip:
                self._open(ip, failure_domain)
        return found

    def ask(self, ip: str, ask: Ask, on_answer: OnAnswer, grant: GrantAttempts) -> Delegate:
        """Ask an entry.

        :param ip: its IP address, as :meth:`choose` gave it.
        :param ask: what is asked; its number is set here.
        :param on_answer: told what comes of it, later.
        :param grant: decides on shards that the entry wants to send to one more searcher.
        :returns: the handle to cancel it by.
        """
        number = next(self._numbers)
        link = self._by_ip[ip]
        timer = self._timers.after(TAKEN_MS, lambda: self._overdue(number, "not-taken"))
        now_ms = self._timers.now_ms()
        due_ms = now_ms + ask.answer_in_ms + SILENT_MS
        self._asking[number] = _Asking(
            link, ip, ask.request_id, on_answer, grant, timer, now_ms, due_ms
        )
        self._send(link, replace(ask, number=number))
        # Now, and not after connections to searchers of this entry's own part are opened, which
        # takes most of the time within which the ask is to be taken.
        self._links.flush(link)
        return Delegate(self, number)

    def cancel(self, number: int) -> None:
        """Give an ask up.

        :param number: the ask.
        """
        asking = self._asking.pop(number, None)
        if asking is not None:
            asking.timer.cancel()
            self._send(asking.link, Cancel(number))

    def grant(self, number: int, services: tuple[str, ...]) -> None:
        """Let shards of an ask go to one more searcher.

        :param number: the ask.
        :param services: the shards.
        """
        asking = self._asking.get(number)
        if asking is not None:
            self._send(asking.link, Leave(number, services))

    def _rank(self, member: Member) -> int:
        """Order entries differently for each entry that asks."""
        return zlib.crc32(f"{self._membership.me.name} {member.name}".encode())

    def _is_open(self, ip: str) -> bool:
        link = self._by_link.get(self._by_ip.get(ip, -1))
        return link is not None and link.is_open

    def _open(self, ip: str, failure_domain: str) -> None:
        number = self._links.open(ip, self._port, CONNECT_TIMEOUT_MS)
        self._by_ip[ip] = number
        self._by_link[number] = _Link(ip, failure_domain, LinkCodec())

    def _opened(self, link: int, inbound: bool) -> None:
        self._by_link[link].is_open = True

    def _received(self, link: int, data: bytes) -> None:
        found = self._by_link.get(link)
        if found is None:
            return
        self._reach.on_heard(found.failure_domain)
        self._membership.on_work(found.failure_domain)
        try:
            for message in found.codec.feed(data):
                self._take(message)
        except FrameError as error:
            log_event("delegate-link-refused", level="error", ip=found.ip, code=error.code)
            self._links.abort(link)

    def _send(self, link: int, message: Message) -> None:
        found = self._by_link.get(link)
        if found is not None:
            self._links.send(link, found.codec.encode(message))

    def _take(self, message: object) -> None:
        asking = self._asking.get(getattr(message, "number", 0))
        if asking is None:
            return
        asking.timer.cancel()
        if isinstance(message, Answer):
            asking.answered = True
            if not message.pending:
                del self._asking[message.number]
            asking.on_answer(message)
        elif isinstance(message, LeaveWanted):
            news = AttemptReport(message.ended, message.replied)
            granted = asking.grant(message.services, news)
            if granted:
                self._send(asking.link, Leave(message.number, granted))
        elif not isinstance(message, Taken):
            raise FrameError("malformed", "entries that are asked answer only")
        if not asking.answered:
            left_ms = asking.due_ms - self._timers.now_ms()
            number = message.number
            asking.timer = self._timers.after(left_ms, lambda: self._overdue(number, "silent"))

    def _overdue(self, number: int, code: str) -> None:
        """Read what has come before an ask is given up.

        Due timers run first in a turn of the loop: after a long one, as when connections to all
        searchers of a part are opened, what is waited for may have come and not been read.
        """
        asking = self._asking.get(number)
        if asking is not None:
            asking.timer = self._timers.after(0, lambda: self._silent(number, code))

    def _silent(self, number: int, code: str) -> None:
        asking = self._asking.get(number)
        if asking is None:
            return
        self._send(asking.link, Cancel(number))
        self._fail(number, code)

    def _closed(self, link: int, reason: CloseReason) -> None:
        found = self._by_link.pop(link)
        if self._by_ip.get(found.ip) == link:
            del self._by_ip[found.ip]
        self._bad(found.ip)
        if reason in SILENCES:
            self._reach.on_unreachable(found.failure_domain, found.ip)
        for number in [n for n, asking in self._asking.items() if asking.link == link]:
            self._fail(number, reason.value)

    def _fail(self, number: int, code: str) -> None:
        asking = self._asking.pop(number, None)
        if asking is None:
            # The search that one ask belonged to has failed with another one, and cancelled it.
            return
        asking.timer.cancel()
        self._bad(asking.ip)
        log_event(
            "delegate-failed",
            level="warning",
            request=asking.request_id,
            ip=asking.ip,
            code=code,
            after_ms=round(self._timers.now_ms() - asking.sent_ms, 1),
            unsent_bytes=self._links.unsent_bytes(asking.link),
        )
        asking.on_answer(None)

    def _bad(self, ip: str) -> None:
        self._bad_until_ms[ip] = self._timers.now_ms() + BAD_MS
