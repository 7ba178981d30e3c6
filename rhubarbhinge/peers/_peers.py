"""Keeping in touch with the other entries."""

import random
from collections.abc import Callable

from circuits import Component
from msgspec.structs import replace

from rhubarbhinge.members import (
    Heartbeat,
    HeartbeatError,
    Member,
    MembersError,
    Membership,
    TableSync,
    decode_heartbeat,
    decode_members,
    encode_heartbeat,
)
from rhubarbhinge.net import Datagrams
from rhubarbhinge.peers._paths import MEMBERS_PATH
from rhubarbhinge.peers._published import published
from rhubarbhinge.peers._quarantine_news import QuarantineNews
from rhubarbhinge.peers._reports import Report, Reports
from rhubarbhinge.peers._state_pull import StatePull
from rhubarbhinge.peers._state_service import StateService
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Failure, HttpClient, HttpServer, Reply

LIST_TIMEOUT_MS = 1_000.0
"""Longest that a peer may take to give its list of entries; usually some milliseconds."""
NOTE_MS = 1_000.0
"""How often the log notes which entries came and went."""
MOST_NOTED_ALONE = 5
"""More entries that come or go within a second share a line of the log: a fleet of 60 that starts
would write 60 lines at each of them, half of the last 33 KB that a collector may keep."""
START_ID_BITS = 32
"""Bits of the random number that tells one start of an entry from the others."""


class Peers(Component):
    """Keeps in touch with the other entries, over one UDP and one TCP port.

    :param timers: the timer service.
    :param client: calls peers.
    :param follower: knows the published state.
    :param name: name of this VM.
    :param ip: its IP address.
    :param port: UDP and TCP port of all entries.
    :param failure_domain: its failure domain.
    :param seed_ips: addresses of some other VMs.
    :param rng: spreads heartbeats and choices.
    :param reads_platform: tells whether this entry reads the platform itself, with success.
    :param quarantine: what is known of requests that end searchers, told by heartbeats.
    :raises OSError: when the port can not be bound.
    :ivar membership: which entries there are.
    :ivar reports: what they told last of the published state.
    :ivar quarantine_news: tells them of requests that end searchers.
    """

    channel = "peers"

    def __init__(
        self,
        timers: TimerService,
        client: HttpClient,
        follower: Follower,
        name: str,
        ip: str,
        port: int,
        failure_domain: str,
        seed_ips: tuple[str, ...],
        rng: random.Random,
        reads_platform: Callable[[], bool],
        quarantine: Quarantine,
    ):
        super().__init__()
        self._timers = timers
        self._client = client
        self._follower = follower
        self._port = port
        self._live: set[str] = set()
        self.reports = Reports()
        me = Member(name, ip, failure_domain, rng.getrandbits(START_ID_BITS))
        self.membership = Membership(
            timers, me, seed_ips, rng, self._send, lambda: published(follower)
        )
        self.quarantine_news = QuarantineNews(timers, self.membership, quarantine, rng)
        self._sync = TableSync(timers.now_ms, self._fetch_members)
        self._pull = StatePull(timers, client, follower, self.reports, port, failure_domain, rng)
        self._service = StateService(timers, follower, self.membership, reads_platform)
        self._datagrams = Datagrams(self._datagram, (ip, port)).register(self)
        self._server = HttpServer(timers, self._service.answer, (ip, port)).register(self)
        timers.on_pause(lambda late_ms: self.membership.on_pause())
        timers.every(NOTE_MS, self._note)
        self.membership.start()

    @property
    def sent_bytes(self) -> int:
        """Bytes of published state and lists of entries given to others since the start."""
        return self._server.sent_bytes

    def tell_plan(self) -> None:
        """Tell the others at the end of this turn that there is something new."""
        self._timers.after(0, self.membership.send_heartbeats)

    def leave(self) -> None:
        """Tell the others that this entry is stopping."""
        self._service.leaving = True
        self.membership.leave()

    def _send(self, ip: str, heartbeat: Heartbeat) -> None:
        suspicions = self.quarantine_news.carried()
        if suspicions:
            heartbeat = replace(heartbeat, suspicions=suspicions)
        self._datagrams.send(ip, self._port, encode_heartbeat(heartbeat))

    def _datagram(self, ip: str, port: int, data: bytes) -> None:
        try:
            heartbeat = decode_heartbeat(data)
        except HeartbeatError as error:
            log_event("bad-heartbeat", level="warning", ip=ip, code=error.code)
            return
        membership = self.membership
        membership.on_heartbeat(heartbeat, ip)
        if heartbeat.name == membership.me.name:
            return
        if heartbeat.suspicions:
            self.quarantine_news.take(heartbeat.suspicions)
        equal = heartbeat.members_digest == membership.digest
        self._sync.on_digest(ip, heartbeat.failure_domain, equal)
        revision, age_ms = heartbeat.revision, heartbeat.age_ms
        sender, now_ms = heartbeat.sender(ip), self._timers.now_ms()
        self.reports.add(Report(sender, revision, age_ms, now_ms, heartbeat.plan_version))
        self._follower.on_peer_revision(revision, age_ms)
        self._pull.look()

    def _fetch_members(self, ip: str) -> None:
        self._client.call(
            ip,
            self._port,
            "GET",
            MEMBERS_PATH,
            timeout_ms=LIST_TIMEOUT_MS,
            on_done=lambda outcome: self._fetched_members(ip, outcome),
        )

    def _fetched_members(self, ip: str, outcome: Reply | Failure) -> None:
        fault = ""
        if isinstance(outcome, Failure):
            fault = outcome.code
        elif outcome.status != 200:
            fault = f"status-{outcome.status}"
        else:
            try:
                self.membership.on_members(decode_members(outcome.body))
            except MembersError as error:
                fault = error.code
        if fault:
            log_event("members-not-fetched", level="warning", ip=ip, code=fault)
        self._sync.on_fetched(not fault)

    def _note(self) -> None:
        self._pull.look()
        live = {member.name for member in self.membership.all_live()}
        self._note_each("peer-regained", "info", sorted(live - self._live), len(live))
        self._note_each("peer-lost", "warning", sorted(self._live - live), len(live))
        self._live = live

    def _note_each(self, event: str, level: str, names: list[str], peers: int) -> None:
        if len(names) <= MOST_NOTED_ALONE:
            for name in names:
                log_event(event, level=level, peer=name, peers=peers)
        else:
            log_event(event, level=level, peer=",".join(names), count=len(names), peers=peers)
