"""Heartbeats between entries, and handing on of published state."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from circuits import Component

from rhubarbhinge.net import Datagrams
from rhubarbhinge.peers._heartbeat import (
    Heartbeat,
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from rhubarbhinge.peers._peer_table import PeerTable
from rhubarbhinge.peers._state_codec import StateError, decode_state, encode_state
from rhubarbhinge.published import Changes, Follower, Snapshot
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import (
    Failure,
    HttpClient,
    HttpServer,
    Reply,
    Request,
    Responder,
    Response,
    error_response,
)

HEARTBEAT_MS = 1_000.0
"""Period of heartbeats; at 58 VMs, 57 datagrams a second each way cost about half % of a core."""
FULL_EVERY = 5
"""One in so many heartbeats lists the known addresses, which cost bytes between domains."""
STATE_PATH = "/v1/published-state"
"""Path at which an entry hands on what it knows."""
CHANGES_PATH = "/v1/published-changes"
"""Path at which an entry that reads the platform tells others what changes."""
CHANGES_WAIT_MS = 1_500.0
"""How long an entry that asks for changes waits; short, so that a reader that died is noticed well
within the seconds that a change may take to be in force."""
BEHIND_MS = 600.0
"""An entry that is behind a peer for so long is not told any more, though its call to the platform
or to its reader may still be open: two pauses between watches."""
PULL_TIMEOUT_MS = 500.0
"""Longest that a peer may take to hand on its state; usually some milliseconds."""


class Peers(Component):
    """Keeps in touch with the other entries.

    State is taken from a peer that is further: at once while the platform does not answer this
    entry, otherwise when it stays behind. A peer in the same failure domain is asked first.

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
    :raises OSError: when the port can not be bound.
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
    ):
        super().__init__()
        self._reads_platform = reads_platform
        self._waiting: list[_Waiting] = []
        self._telling = False
        follower.on_changed = self._grown
        self._timers = timers
        self._client = client
        self._follower = follower
        self._name = name
        self._ip = ip
        self._port = port
        self._failure_domain = failure_domain
        self._rng = rng
        self._leaving = False
        self._pulling = False
        self._behind_since_ms: float | None = None
        self._beats = 0
        self._live: set[str] = set()
        self.table = PeerTable(ip, seed_ips)
        self._datagrams = Datagrams(self._datagram, (ip, port)).register(self)
        HttpServer(timers, self._request, (ip, port)).register(self)
        self._tell(asks=True)
        self._next()

    def processes(self) -> int:
        """Count the entries that may be sending requests, this one included.

        :returns: their number.
        """
        return self.table.processes(self._timers.now_ms())

    def live(self) -> list[Heartbeat]:
        """Give the other entries that are alive.

        :returns: their last heartbeats.
        """
        return self.table.live(self._timers.now_ms())

    def in_domain(self, failure_domain: str) -> int:
        """Count the live entries of a failure domain, this one included.

        :param failure_domain: the failure domain.
        :returns: their number.
        """
        live = self.live()
        count = sum(beat.failure_domain == failure_domain and not beat.leaving for beat in live)
        return count + (failure_domain == self._failure_domain)

    def tell_plan(self) -> None:
        """Tell the others at the end of this turn that there is something new."""
        self._timers.after(0, self._tell)

    def leave(self) -> None:
        """Tell the others that this entry is stopping."""
        self._leaving = True
        self._tell()

    def _next(self) -> None:
        self._timers.after(HEARTBEAT_MS * self._rng.uniform(0.9, 1.1), self._beat)

    def _beat(self) -> None:
        self._next()
        self._note_live()
        self._tell()
        self._pull_if_behind()

    def _tell(self, asks: bool = False) -> None:
        now_ms = self._timers.now_ms()
        self._beats += 1
        data = self._heartbeat(asks, self._beats % FULL_EVERY == 0)
        for ip in self.table.targets(now_ms):
            self._datagrams.send(ip, self._port, data)

    def _heartbeat(self, asks: bool, lists_known: bool) -> bytes:
        known: tuple[str, ...] = ()
        if lists_known:
            known = tuple(beat.ip for beat in self.table.live(self._timers.now_ms()))
        return encode_heartbeat(
            Heartbeat(
                self._name,
                self._ip,
                self._failure_domain,
                self._follower.revision,
                self._follower.age_ms(),
                self._leaving,
                asks,
                known,
            )
        )

    def _datagram(self, ip: str, port: int, data: bytes) -> None:
        try:
            heartbeat = decode_heartbeat(data)
        except HeartbeatError as error:
            log_event("bad-heartbeat", level="warning", ip=ip, code=error.code)
            return
        self.table.on_heartbeat(heartbeat, self._timers.now_ms())
        if heartbeat.asks:
            self._datagrams.send(ip, self._port, self._heartbeat(asks=False, lists_known=True))
        self._follower.on_peer_revision(heartbeat.revision, heartbeat.age_ms)
        self._pull_if_behind()

    def _note_live(self) -> None:
        live = {beat.name for beat in self.table.live(self._timers.now_ms())}
        for name in sorted(live - self._live):
            log_event("peer-regained", peer=name, peers=len(live))
        for name in sorted(self._live - live):
            log_event("peer-lost", level="warning", peer=name, peers=len(live))
        self._live = live

    # Handing on.

    def _pull_if_behind(self) -> None:
        if self._pulling:
            return
        now_ms = self._timers.now_ms()
        revision = self._follower.revision
        ahead = [beat for beat in self.table.live(now_ms) if beat.revision > revision]
        if not ahead:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
            self._timers.after(BEHIND_MS, self._pull_if_behind)
        if not self._follower.needs_peers and now_ms - self._behind_since_ms < BEHIND_MS:
            return
        near = [beat for beat in ahead if beat.failure_domain == self._failure_domain]
        chosen = self._rng.choice(near or ahead)
        self._pulling = True
        self._client.call(
            chosen.ip,
            self._port,
            "GET",
            STATE_PATH,
            timeout_ms=PULL_TIMEOUT_MS,
            on_done=lambda outcome: self._pulled(chosen.name, outcome),
        )

    def _pulled(self, peer: str, outcome: Reply | Failure) -> None:
        self._pulling = False
        self._behind_since_ms = None
        if isinstance(outcome, Failure) or outcome.status != 200:
            code = outcome.code if isinstance(outcome, Failure) else f"status-{outcome.status}"
            log_event("peer-pull-failed", level="warning", peer=peer, code=code)
            return
        try:
            snapshot = decode_state(outcome.body).state
        except StateError as error:
            log_event("peer-pull-failed", level="error", peer=peer, code=error.code)
            return
        log_event(
            "peer-pulled",
            peer=peer,
            revision=snapshot.revision,
            before=self._follower.revision,
            age_ms=round(snapshot.age_ms),
        )
        self._follower.offer(snapshot)

    def _request(self, request: Request, responder: Responder) -> None:
        if request.path == STATE_PATH:
            responder.answer(self._state(self._follower.snapshot()))
        elif request.path == CHANGES_PATH:
            self._asked_for_changes(request, responder)
        else:
            responder.answer(
                error_response(404, "no-such-path", "Only entries call here.", "Use another port.")
            )

    def _state(self, state: Snapshot | Changes) -> Response:
        log = self._follower.log
        return Response(200, encode_state(state, log.id, log.position))

    def _asked_for_changes(self, request: Request, responder: Responder) -> None:
        if not self._reads_platform() or self._leaving:
            message = "This entry does not read the platform itself."
            responder.answer(error_response(503, "no-reader", message, "Ask the platform."))
            return
        log = self._follower.log
        after = request.query.get("after", "")
        position = int(after) if after.isdigit() else -1
        waiting = _Waiting(responder, request.query.get("log", ""), position)
        if waiting.log_id == log.id and waiting.position == log.position:
            self._waiting.append(waiting)
            self._timers.after(CHANGES_WAIT_MS, lambda: self._tell_changes(waiting))
        else:
            self._answer_changes(waiting)

    def _grown(self) -> None:
        """Tell those that wait, once for all changes of this turn."""
        if self._waiting and not self._telling:
            self._telling = True
            self._timers.after(0, self._tell_all)

    def _tell_all(self) -> None:
        self._telling = False
        for waiting in list(self._waiting):
            self._tell_changes(waiting)

    def _tell_changes(self, waiting: "_Waiting") -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._answer_changes(waiting)

    def _answer_changes(self, waiting: "_Waiting") -> None:
        state = self._follower.changes_since(waiting.log_id, waiting.position)
        waiting.responder.answer(self._state(state))


@dataclass(frozen=True, slots=True, eq=False)
class _Waiting:
    """An entry that waits for changes."""

    responder: Responder
    log_id: str
    position: int
