"""Choice of the entry that reads the platform for the others of its failure domain."""

from math import inf

from rhubarbhinge.members import Member, Membership
from rhubarbhinge.peers._reports import PeerReports
from rhubarbhinge.published import Freshness
from rhubarbhinge.timing import TimerService

READER_RETRY_MS = 3_000.0
"""Time for which a failed reader is not asked; by then its heartbeats show whether it is alive."""
MIN_KNOWN_MS = 3_000.0
"""An entry without a direct report is used as reader once it has been known for this time; one that
has just started would send its followers to the platform."""

DISCOVERY_MS = 400.0
"""Time after its start in which an entry learns of most others of its domain, even when all start
within 300 ms of each other. The entry with the lowest name then reads the platform."""
JOIN_MS = 3_000.0
"""Time for which a starting entry looks for the reader before it waits for changes at the platform.
When a large fleet starts as a whole, some entries learn late of the lowest name of their domain. An
entry that stays behind a peer pulls that peer's state meanwhile."""


class ReaderChoice:
    """Chooses the entry that reads the platform for the others of its failure domain.

    It is the live entry with the lowest name, which all entries determine independently. Without
    peers, each entry reads the platform itself.

    :param timers: the timer service.
    :param name: name of this VM.
    :param failure_domain: its failure domain.
    :param freshness: how recent a reader's state has to be.
    """

    def __init__(self, timers: TimerService, name: str, failure_domain: str, freshness: Freshness):
        self._timers = timers
        self._name = name
        self._failure_domain = failure_domain
        self._freshness = freshness
        self._membership: Membership | None = None
        self._reports = PeerReports()
        self._avoid_until_ms: dict[str, float] = {}
        self._started_ms: float | None = None

    def set_peers(self, membership: Membership, reports: PeerReports) -> None:
        """Set the peers among which readers are chosen from now on.

        :param membership: the members of the fleet.
        :param reports: their latest reports on the published state.
        """
        self._membership = membership
        self._reports = reports

    def start(self) -> bool:
        """Record the first read of this entry.

        :returns: whether this is the first read.
        """
        is_first = self._started_ms is None
        if is_first:
            self._started_ms = self._timers.now_ms()
        return is_first

    def is_joining(self) -> bool:
        """Check whether this entry has just started and may still discover a reader.

        :returns: whether it has to wait for one.
        """
        uptime_ms = self._uptime_ms()
        if self._membership is None or uptime_ms >= JOIN_MS:
            return False
        live = self._membership.live(self._failure_domain)
        is_lowest = all(self._name < member.name for member in live)
        return uptime_ms < DISCOVERY_MS or not is_lowest

    def avoid(self, ip: str) -> None:
        """Choose an entry no longer as reader for a while.

        :param ip: its IP address.
        """
        self._avoid_until_ms[ip] = self._timers.now_ms() + READER_RETRY_MS

    def choose(self, is_failing: bool) -> Member | None:
        """Choose the reader.

        :param is_failing: whether this entry fails to read the platform itself.
        :returns: the reader; None when this entry has to read the platform itself.
        """
        if self._membership is None:
            return None
        now_ms = self._timers.now_ms()
        for member in self._membership.live(self._failure_domain):
            if self._avoid_until_ms.get(member.ip, 0.0) <= now_ms and self._may_read(
                member, now_ms
            ):
                return member if is_failing or member.name < self._name else None
        return None

    def _uptime_ms(self) -> float:
        """Return the time since the first read; infinite if this entry has read nothing yet."""
        return inf if self._started_ms is None else self._timers.now_ms() - self._started_ms

    def _may_read(self, member: Member, now_ms: float) -> bool:
        report = self._reports.get(member.name, now_ms)
        if self._uptime_ms() < JOIN_MS:
            # When a fleet starts as a whole, no entry has been known for long, and the one with the
            # lowest name reads. An entry that does not read says so at once.
            return self._uptime_ms() >= DISCOVERY_MS or (report is not None and report.age_ms >= 0)
        if report is None:
            return self._membership.present_for_ms(member.name) >= MIN_KNOWN_MS
        return 0 <= report.age_ms <= self._freshness.apply_within_ms
