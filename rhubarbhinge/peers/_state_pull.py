"""Pulls published state from entries that are ahead."""

import random

from rhubarbhinge.peers._known_state import KnownState
from rhubarbhinge.peers._paths import STATE_PATH, with_query
from rhubarbhinge.peers._published_status import published_status
from rhubarbhinge.peers._reports import PeerReport, PeerReports
from rhubarbhinge.peers._state_codec import StateError, decode_state
from rhubarbhinge.published import Follower
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Failure, HttpClient, Reply

MAX_LAG_MS = 600.0
"""An entry that is behind a peer for this time, two pauses between watches, evidently no longer
gets updates, although its call to the platform or to its reader may still be open."""
PULL_TIMEOUT_MS = 500.0
"""Timeout for a peer's state, which usually takes some milliseconds."""


class StatePull:
    """Pulls published state from an entry that is ahead.

    It pulls at once while reads of the platform fail, and otherwise when this entry stays behind.
    An entry of the same failure domain is preferred.

    :param timers: the timer service.
    :param client: calls peers.
    :param follower: follows the published state.
    :param reports: the peers' latest reports on the published state.
    :param port: port of all entries.
    :param failure_domain: failure domain of this entry.
    :param rng: chooses among the peers.
    """

    def __init__(
        self,
        timers: TimerService,
        client: HttpClient,
        follower: Follower,
        reports: PeerReports,
        port: int,
        failure_domain: str,
        rng: random.Random,
    ):
        self._timers = timers
        self._client = client
        self._follower = follower
        self._reports = reports
        self._port = port
        self._failure_domain = failure_domain
        self._rng = rng
        self._is_pulling = False
        self._behind_since_ms: float | None = None

    def check(self) -> None:
        """Pull state if a peer is ahead and a pull is due."""
        if self._is_pulling:
            return
        now_ms = self._timers.now_ms()
        known = published_status(self._follower)
        candidates = self._reports.ahead_of(known, now_ms)
        if not candidates and self._follower.needs_peers and self._follower.needs_full_state:
            candidates = self._reports.equal_to(known, now_ms)
        if not candidates:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
            self._timers.after(MAX_LAG_MS, self.check)
        if not self._follower.needs_peers and now_ms - self._behind_since_ms < MAX_LAG_MS:
            return
        self._pull(self._choose(candidates))

    def _choose(self, candidates: list[PeerReport]) -> PeerReport:
        local = [one for one in candidates if one.member.failure_domain == self._failure_domain]
        return self._rng.choice(local or candidates)

    def _pull(self, report: PeerReport) -> None:
        self._is_pulling = True
        known = KnownState.from_follower(self._follower)
        self._client.call(
            report.member.ip,
            self._port,
            "GET",
            with_query(STATE_PATH, known.query_parameters()),
            timeout_ms=PULL_TIMEOUT_MS,
            on_done=lambda outcome: self._on_result(report.member.name, outcome, known),
        )

    def _on_result(self, peer: str, outcome: Reply | Failure, known: KnownState) -> None:
        self._is_pulling = False
        self._behind_since_ms = None
        if isinstance(outcome, Failure) or outcome.status != 200:
            code = outcome.code if isinstance(outcome, Failure) else f"status-{outcome.status}"
            log_event("peer-pull-failed", level="warning", peer=peer, code=code)
            return
        try:
            snapshot = decode_state(outcome.body, known).state
        except StateError as error:
            log_event("peer-pull-failed", level="error", peer=peer, code=error.code)
            return
        log_event(
            "peer-pulled",
            peer=peer,
            revision=str(snapshot.revision),
            before=str(self._follower.revision),
            age_ms=round(snapshot.age_ms),
        )
        self._follower.offer(snapshot)
