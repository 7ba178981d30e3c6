"""Communication with the other entries."""

import random
from collections.abc import Callable

from circuits import Component
from msgspec.structs import replace

from rhubarbhinge.members import (
    MAX_HEARTBEAT_BYTES,
    UNKNOWN_CAPACITY,
    Heartbeat,
    HeartbeatError,
    Member,
    MembersError,
    Membership,
    TableSync,
    VmCapacity,
    decode_heartbeat,
    decode_members,
    encode_heartbeat,
)
from rhubarbhinge.net import Datagrams, Links
from rhubarbhinge.peers._heartbeat_extras import NO_EXTRAS, HeartbeatExtras
from rhubarbhinge.peers._loan_service import LoanService
from rhubarbhinge.peers._local_rounds import LocalRounds
from rhubarbhinge.peers._paths import MEMBERS_PATH
from rhubarbhinge.peers._published_status import published_status
from rhubarbhinge.peers._quarantine_gossip import QuarantineGossip
from rhubarbhinge.peers._reports import PeerReport, PeerReports
from rhubarbhinge.peers._state_pull import StatePull
from rhubarbhinge.peers._state_service import StateService
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Failure, HttpClient, HttpServer, Reply

MEMBERS_TIMEOUT_MS = 1_000.0
"""Timeout for a peer's list of members, which usually takes some milliseconds."""
LOG_INTERVAL_MS = 1_000.0
"""Interval at which peers that appeared or were lost are logged."""
MAX_SINGLE_EVENTS = 5
"""More entries that appear or are lost within a second share a log line. A fleet of 60 that starts
would write 60 lines at each entry, half of the last 33 KB that a log collector may keep."""
START_ID_BITS = 32
"""Bits of the random number that distinguishes the starts of an entry."""


class Peers(Component):
    """Communicates with the other entries, over one UDP and one TCP port.

    :param timers: the timer service.
    :param client: calls peers.
    :param follower: follows the published state.
    :param name: name of this VM.
    :param ip: its IP address.
    :param port: UDP and TCP port of all entries.
    :param failure_domain: its failure domain.
    :param seed_ips: addresses of some other VMs.
    :param rng: adds jitter to heartbeats, and chooses peers.
    :param reads_platform: returns whether this entry successfully reads the platform itself.
    :param quarantine: suspicions about requests that crash searchers, sent with heartbeats.
    :param capacity: resources of this VM.
    :param extras: further data exchanged with the entries of this failure domain.
    :param loans: lends retry budget to other entries; None if this entry lends none.
    :raises OSError: when the port cannot be bound.
    :ivar membership: the members of the fleet.
    :ivar reports: the members' latest reports on the published state.
    :ivar quarantine_gossip: spreads suspicions about requests that crash searchers.
    :ivar local_rounds: sends heartbeats at once to entries of this failure domain.
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
        capacity: VmCapacity = UNKNOWN_CAPACITY,
        extras: HeartbeatExtras = NO_EXTRAS,
        loans: LoanService | None = None,
    ):
        super().__init__()
        self._timers = timers
        self._client = client
        self._follower = follower
        self._port = port
        self._live_names: set[str] = set()
        self.reports = PeerReports()
        self._extras = extras
        self._loans = loans
        me = Member(name, ip, failure_domain, rng.getrandbits(START_ID_BITS), capacity=capacity)
        self.membership = Membership(
            timers, me, seed_ips, rng, self._send, lambda: published_status(follower)
        )
        self.quarantine_gossip = QuarantineGossip(timers, self.membership, quarantine, rng)
        self.local_rounds = LocalRounds(timers, self.membership, rng)
        self._table_sync = TableSync(timers.now_ms, self._fetch_members)
        self._state_pull = StatePull(
            timers, client, follower, self.reports, port, failure_domain, rng
        )
        self._service = StateService(timers, follower, self.membership, reads_platform, loans)
        self._datagrams = Datagrams(self._on_datagram, (ip, port)).register(self)
        self._server = HttpServer(timers, self._service.answer, (ip, port)).register(self)
        timers.on_pause(lambda late_ms: self.membership.on_pause())
        timers.every(LOG_INTERVAL_MS, self._check_peers)
        self.membership.start()

    @property
    def links(self) -> Links:
        """The connections of other entries, for the accounting of buffered bytes."""
        return self._server.links

    @property
    def sent_bytes(self) -> int:
        """Bytes of published state and member lists sent to other entries since the start."""
        return self._server.sent_bytes

    def announce_plan(self) -> None:
        """Announce a new serving plan to peers at the end of this event loop iteration."""
        self._timers.after(0, self.membership.send_heartbeats)

    def leave(self) -> None:
        """Announce that this entry is stopping."""
        self._service.leaving = True
        if self._loans is not None:
            self._loans.leaving = True
        self.membership.leave()

    def _send(self, ip: str, heartbeat: Heartbeat) -> None:
        suspicions = self.quarantine_gossip.outgoing()
        if suspicions:
            heartbeat = replace(heartbeat, suspicions=suspicions)
        is_local = self._is_local(ip)
        data = encode_heartbeat(self._extras.add_to(heartbeat) if is_local else heartbeat)
        if is_local and len(data) > MAX_HEARTBEAT_BYTES:
            # Receivers reject heartbeats that are too long, which names at their bounds can cause.
            data = encode_heartbeat(heartbeat)
        self._datagrams.send(ip, self._port, data)

    def _is_local(self, ip: str) -> bool:
        table = self.membership.table
        return any(one.ip == ip for one in table.present(self.membership.me.failure_domain))

    def _on_datagram(self, ip: str, port: int, data: bytes) -> None:
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
            self.quarantine_gossip.receive(heartbeat.suspicions)
        if heartbeat.failure_domain == membership.me.failure_domain:
            self._extras.on_received(heartbeat)
        is_equal = heartbeat.members_digest == membership.digest
        self._table_sync.on_digest(ip, heartbeat.failure_domain, is_equal)
        revision, age_ms = heartbeat.revision, heartbeat.age_ms
        sender, now_ms = heartbeat.sender(ip), self._timers.now_ms()
        self.reports.add(PeerReport(sender, revision, age_ms, now_ms, heartbeat.plan_version))
        self._follower.on_peer_revision(revision, age_ms)
        self._state_pull.check()

    def _fetch_members(self, ip: str) -> None:
        self._client.call(
            ip,
            self._port,
            "GET",
            MEMBERS_PATH,
            timeout_ms=MEMBERS_TIMEOUT_MS,
            on_done=lambda outcome: self._on_members_result(ip, outcome),
        )

    def _on_members_result(self, ip: str, outcome: Reply | Failure) -> None:
        code = ""
        if isinstance(outcome, Failure):
            code = outcome.code
        elif outcome.status != 200:
            code = f"status-{outcome.status}"
        else:
            try:
                self.membership.on_members(decode_members(outcome.body))
            except MembersError as error:
                code = error.code
        if code:
            log_event("members-not-fetched", level="warning", ip=ip, code=code)
        self._table_sync.on_fetched(not code)

    def _check_peers(self) -> None:
        self._state_pull.check()
        live = {member.name for member in self.membership.all_live()}
        self._log_names("peer-regained", "info", sorted(live - self._live_names), len(live))
        self._log_names("peer-lost", "warning", sorted(self._live_names - live), len(live))
        self._live_names = live

    def _log_names(self, event: str, level: str, names: list[str], peers: int) -> None:
        if len(names) <= MAX_SINGLE_EVENTS:
            for name in names:
                log_event(event, level=level, peer=name, peers=peers)
        else:
            log_event(event, level=level, peer=",".join(names), count=len(names), peers=peers)
