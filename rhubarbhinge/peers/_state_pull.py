"""Taking published state from entries that are further."""

import random

from rhubarbhinge.peers._known_state import KnownState
from rhubarbhinge.peers._paths import STATE_PATH, with_query
from rhubarbhinge.peers._published import published
from rhubarbhinge.peers._reports import Report, Reports
from rhubarbhinge.peers._state_codec import StateError, decode_state
from rhubarbhinge.published import Follower
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.web import Failure, HttpClient, Reply

BEHIND_MS = 600.0
"""An entry that is behind a peer for so long is not told any more, though its call to the platform
or to its reader may still be open: two pauses between watches."""
PULL_TIMEOUT_MS = 500.0
"""Longest that a peer may take to hand on its state; usually some milliseconds."""


class StatePull:
    """Takes published state from an entry that is further.

    At once while the platform does not answer this entry, otherwise when it stays behind. An entry
    of the same failure domain is asked first.

    :param timers: the timer service.
    :param client: calls peers.
    :param follower: knows the published state.
    :param reports: what the others know.
    :param port: port of all entries.
    :param failure_domain: that of this entry.
    :param rng: spreads the choice.
    """

    def __init__(
        self,
        timers: TimerService,
        client: HttpClient,
        follower: Follower,
        reports: Reports,
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
        self._pulling = False
        self._behind_since_ms: float | None = None

    def look(self) -> None:
        """Take state if a peer is further, and it is time."""
        if self._pulling:
            return
        now_ms = self._timers.now_ms()
        known = published(self._follower)
        ahead = self._reports.ahead(known, now_ms)
        if not ahead and self._follower.needs_peers and self._follower.needs_full_state:
            ahead = self._reports.level(known, now_ms)
        if not ahead:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
            self._timers.after(BEHIND_MS, self.look)
        if not self._follower.needs_peers and now_ms - self._behind_since_ms < BEHIND_MS:
            return
        self._pull(self._choose(ahead))

    def _choose(self, ahead: list[Report]) -> Report:
        near = [one for one in ahead if one.member.failure_domain == self._failure_domain]
        return self._rng.choice(near or ahead)

    def _pull(self, report: Report) -> None:
        self._pulling = True
        known = KnownState.of(self._follower)
        self._client.call(
            report.member.ip,
            self._port,
            "GET",
            with_query(STATE_PATH, known.parameters()),
            timeout_ms=PULL_TIMEOUT_MS,
            on_done=lambda outcome: self._pulled(report.member.name, outcome, known),
        )

    def _pulled(self, peer: str, outcome: Reply | Failure, known: KnownState) -> None:
        self._pulling = False
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
