"""Published state by one reader in each failure domain."""

from collections.abc import Callable
from math import inf

from msgspec import Struct

from rhubarbhinge.members import Member, Membership
from rhubarbhinge.peers._known_state import NOTHING_KNOWN, KnownState
from rhubarbhinge.peers._paths import CHANGES_PATH, CHANGES_WAIT_MS, with_query
from rhubarbhinge.peers._reports import Reports
from rhubarbhinge.peers._state_codec import StateError, decode_state
from rhubarbhinge.published import Changes, ReadFault, Snapshot, Source
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.web import Failure, HttpClient, Reply

MARGIN_MS = 400.0
"""What an answer may take beyond the wait."""
BAD_MS = 3_000.0
"""A reader that failed is not asked for so long; by then its heartbeats tell whether it lives."""
MOST_AGE_MS = 6_000.0
"""An entry whose own state was not confirmed for so long is no reader."""
SETTLED_MS = 3_000.0
"""An entry that was not heard from directly counts as a reader once it is known for so long; one
that has just started would send its followers to the platform."""

KNOW_MS = 400.0
"""Within so long after its start an entry has heard of most others of its domain, also when all
start within 300 ms of each other; who has the least name then reads the platform."""
JOIN_MS = 3_000.0
"""How long a starting entry looks for the reader before it waits for changes at the platform. Of a
large fleet that starts as a whole some hear of the least name of their domain late. Who stays
behind a peer takes that peer's state meanwhile."""
JOIN_POLL_MS = 50.0
"""How often it looks meanwhile."""
JOIN_RETRY_MS = 250.0
"""An entry that was asked and reads not yet may be about to; it, or a lesser name that was heard of
meanwhile, is asked so much later."""
FAILING_MS = 1_000.0
"""A reader whose watch was cut counts as one for so long, and those that wait at it go on: else
each cut watch would send all entries of the domain to the platform at once."""

OLD_LIST = ReadFault("old-list", history_lost=True)
"""Told where all has to be listed again, as the first list may have been old."""

SETTLED = ReadFault("settled", history_lost=True)
"""Told where all has to be listed again, as this entry reads and wants more than changes."""
ERA_CHANGED = "era-changed"
"""Why what a reader told is not used: another entry told of a later era in the meantime."""

OnTold = Callable[[Changes | Snapshot | ReadFault], None]


class _Place(Struct, frozen=True):
    """Up to where a reader's log of changes is known.

    :param log_id: the log.
    :param position: the position in it.
    :param era: the era of the state there. Once a later one is known from elsewhere, the log tells
        no more what this entry lacks, as that state may differ from the reader's.
    """

    log_id: str
    position: int
    era: int


class SharedSource:
    """Reads the platform in one entry of each failure domain; the others ask that one.

    The reader is the live entry with the least name, which all work out alike. Nothing depends on
    their agreeing: an entry that is asked and does not read the platform says so, and who gets no
    answer asks the platform itself.

    An entry that starts lists what may be some seconds old, which costs the platform a tenth, and
    then waits for changes at the reader. So a start costs one cheap call, also when all start at
    once.

    :param timers: the timer service.
    :param client: calls peers.
    :param store: reads the platform.
    :param name: name of this VM.
    :param failure_domain: its failure domain.
    :param port: port of all entries.
    :ivar platform_calls: reads and watches of the platform since the start.
    :ivar reader_calls: waits at another entry since the start.
    """

    def __init__(
        self,
        timers: TimerService,
        client: HttpClient,
        store: Source,
        name: str,
        failure_domain: str,
        port: int,
    ):
        self._timers = timers
        self._client = client
        self._store = store
        self._name = name
        self._failure_domain = failure_domain
        self._port = port
        self._membership: Membership | None = None
        self._reports = Reports()
        self._known: Callable[[], KnownState] = lambda: NOTHING_KNOWN
        self._bad_until_ms: dict[str, float] = {}
        self._place: _Place | None = None
        self._told_by = ""
        self._failing = False
        self._reads_until_ms = inf
        self._reading = True
        self._started_ms: float | None = None
        self._list_is_old = False
        self._wants_all = False
        self.platform_calls = 0
        self.reader_calls = 0

    @property
    def reads_platform(self) -> bool:
        """Whether this entry reads the platform itself, with success but for moments."""
        return self._reading and self._timers.now_ms() < self._reads_until_ms

    def know(
        self,
        membership: Membership,
        reports: Reports,
        known: Callable[[], KnownState] = lambda: NOTHING_KNOWN,
    ) -> None:
        """Choose readers from now on.

        :param membership: which entries there are.
        :param reports: what they told last of the published state.
        :param known: gives what this entry has, which a reader need not tell.
        """
        self._membership = membership
        self._reports = reports
        self._known = known

    def read_all(self, on_done: Callable[[Snapshot | ReadFault], None]) -> None:
        """Read everything from the platform; the first time what may be some seconds old.

        :param on_done: told the outcome.
        """
        self._place = None
        self._reading = True
        self.platform_calls += 1
        first = self._started_ms is None
        if first:
            self._started_ms = self._timers.now_ms()

        def done(outcome: Snapshot | ReadFault) -> None:
            self._note_outcome(outcome)
            if isinstance(outcome, Snapshot):
                self._wants_all = False
            self._list_is_old = first and isinstance(outcome, Snapshot)
            on_done(outcome)

        self._store.read_all(done, allow_stale=first)

    def ask_for_all(self) -> None:
        """Have the next wait bring everything, or the fault that all has to be listed."""
        self._wants_all = True

    def wait_for_changes(self, after_revision: Revision, on_done: OnTold) -> None:
        """Wait for changes, at the reader or the platform.

        :param after_revision: changes after it are told.
        :param on_done: told the outcome.
        """
        reader = self._reader()
        if reader is None and self._is_joining():
            self._timers.after(JOIN_POLL_MS, lambda: self.wait_for_changes(after_revision, on_done))
            return
        if reader is None and self._list_is_old:
            # Who is to read for others needs the newest state, and changes are told from there.
            self._timers.after(0, lambda: on_done(OLD_LIST))
            return
        if reader is None and self._wants_all:
            self._timers.after(0, lambda: on_done(SETTLED))
            return
        if reader is None:
            self._wait_at_platform(after_revision, on_done)
            return
        if reader.ip != self._told_by:
            self._place, self._told_by = None, reader.ip
            log_event("reader-chosen", reader=reader.name)
        self._reading = False
        self.reader_calls += 1
        known = self._known()
        place = self._place_parameters(after_revision)
        self._client.call(
            reader.ip,
            self._port,
            "GET",
            with_query(CHANGES_PATH, place + known.parameters()),
            timeout_ms=CHANGES_WAIT_MS + MARGIN_MS,
            on_done=lambda outcome: self._asked(reader, outcome, after_revision, known, on_done),
        )

    def _place_parameters(self, known: Revision) -> list[str]:
        place = self._place
        if place is None or place.era != known.era or self._wants_all:
            return []
        return [f"log={place.log_id}&after={place.position}"]

    def _wait_at_platform(self, after_revision: Revision, on_done: OnTold) -> None:
        # What the platform tells now makes the place in a reader's log meaningless.
        self._place, self._told_by = None, ""
        self._reading = True
        self.platform_calls += 1

        def done(outcome: Changes | ReadFault) -> None:
            self._note_outcome(outcome)
            on_done(outcome)

        self._store.wait_for_changes(after_revision, done)

    def _note_outcome(self, outcome: Changes | Snapshot | ReadFault) -> None:
        self._failing = isinstance(outcome, ReadFault) and not outcome.history_lost
        if not self._failing:
            self._reads_until_ms = inf
        elif outcome.cut:
            self._reads_until_ms = min(self._reads_until_ms, self._timers.now_ms() + FAILING_MS)
        else:
            self._reads_until_ms = -inf

    def _up_ms(self) -> float:
        """Tell how long ago this entry read for the first time; endless if that was not here."""
        return inf if self._started_ms is None else self._timers.now_ms() - self._started_ms

    def _is_joining(self) -> bool:
        """Tell whether this entry has just started and may yet hear of a reader."""
        up_ms = self._up_ms()
        if self._membership is None or up_ms >= JOIN_MS:
            return False
        live = self._membership.live(self._failure_domain)
        is_least = all(self._name < member.name for member in live)
        return up_ms < KNOW_MS or not is_least

    def _reader(self) -> Member | None:
        """Choose the reader; None when this entry is to read."""
        if self._membership is None:
            return None
        now_ms = self._timers.now_ms()
        for member in self._membership.live(self._failure_domain):
            if self._bad_until_ms.get(member.ip, 0.0) <= now_ms and self._may_read(member, now_ms):
                return member if self._failing or member.name < self._name else None
        return None

    def _may_read(self, member: Member, now_ms: float) -> bool:
        report = self._reports.get(member.name, now_ms)
        if self._up_ms() < JOIN_MS:
            # Of a fleet that starts as a whole nobody is settled, and the least name reads. An
            # entry that does not read says so at once.
            return self._up_ms() >= KNOW_MS or (report is not None and report.age_ms >= 0)
        if report is None:
            return self._membership.present_for_ms(member.name) >= SETTLED_MS
        return 0 <= report.age_ms <= MOST_AGE_MS

    def _asked(
        self,
        reader: Member,
        outcome: Reply | Failure,
        after_revision: Revision,
        known: KnownState,
        on_done: OnTold,
    ) -> None:
        fault = _fault(outcome)
        told = None
        if not fault:
            try:
                told = decode_state(outcome.body, known)
            except StateError as error:
                fault = error.code
        if told is not None and told.state.revision < after_revision and not self._list_is_old:
            fault = "behind"
        now = self._known().revision
        if not fault and now.era > after_revision.era:
            log_event("reader-not-followed", reader=reader.name, code=ERA_CHANGED)
            self._place = None
            self.wait_for_changes(now, on_done)
            return
        if fault:
            log_event("reader-failed", level="warning", reader=reader.name, code=fault)
            joining = self._is_joining()
            if isinstance(outcome, Failure) or not joining:
                self._bad_until_ms[reader.ip] = self._timers.now_ms() + BAD_MS
            if joining:
                self._timers.after(
                    JOIN_RETRY_MS, lambda: self.wait_for_changes(after_revision, on_done)
                )
            else:
                self._wait_at_platform(after_revision, on_done)
            return
        self._place = _Place(told.log_id, told.position, told.state.revision.era)
        self._list_is_old = self._wants_all = False
        on_done(told.state)


def _fault(outcome: Reply | Failure) -> str:
    if isinstance(outcome, Failure):
        return outcome.code
    return "" if outcome.status == 200 else f"status-{outcome.status}"
