"""Source of published state that shares one reader of the platform per failure domain."""

from collections.abc import Callable
from math import inf

from msgspec import Struct

from rhubarbhinge.members import Member, Membership
from rhubarbhinge.peers._answer_timeout import AnswerTimeout
from rhubarbhinge.peers._known_state import NOTHING_KNOWN, KnownState
from rhubarbhinge.peers._paths import CHANGES_PATH, with_query
from rhubarbhinge.peers._pending_wait import OnOutcome, PendingWait
from rhubarbhinge.peers._reader_choice import ReaderChoice
from rhubarbhinge.peers._reports import PeerReports
from rhubarbhinge.peers._state_codec import StateError, decode_state
from rhubarbhinge.published import (
    DEFAULT_FRESHNESS,
    Changes,
    Freshness,
    PlatformClient,
    ReadFailure,
    Snapshot,
)
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision
from rhubarbhinge.web import TIMEOUT, Failure, HttpClient, Reply

RESPONSE_MARGIN_MS = 400.0
"""Time that a response may take beyond the duration of the long poll."""
JOIN_POLL_MS = 50.0
"""Interval at which a starting entry looks for the reader."""
JOIN_RETRY_MS = 250.0
"""Delay before the next request when the entry that was asked does not read the platform yet. It
may be about to; it is asked again, or an entry with a lower name that was discovered meanwhile."""
CUT_GRACE_MS = 1_000.0
"""Time for which an entry whose watch was cut still counts as reader, so that its followers keep
waiting at it. Otherwise each cut watch would send all entries of the domain to the platform at
once."""

STALE_LIST = ReadFailure("old-list", history_lost=True)
"""Reported when everything has to be listed again because the first list may have been stale."""

RESYNC = ReadFailure("settled", history_lost=True)
"""Reported when everything has to be listed again because this entry reads the platform and needs
the full state."""
ERA_CHANGED = "era-changed"
"""Code for a reader's response that is not used because another entry reported a later era."""


class _LogPosition(Struct, frozen=True):
    """Position in the change log of a reader up to which this entry has the changes.

    :param log_id: id of the log.
    :param position: the position.
    :param era: era of the state at that position. Once a later era is known from elsewhere, the log
        no longer covers what this entry lacks, as its state may differ from the reader's.
    """

    log_id: str
    position: int
    era: int


class SharedSource:
    """Reads the platform at one entry of each failure domain; the other entries ask that one.

    The reader is the live entry with the lowest name, which all entries determine independently.
    Correctness does not depend on their agreement: an entry that is asked and does not read the
    platform says so, and an entry that gets no response asks the platform itself.

    A starting entry reads a list that may be some seconds stale, which costs the platform a tenth
    of a fresh one, and then waits for changes at the reader. A start thus costs one cheap call,
    even when all entries start at once.

    The platform is only waited for right after it has answered: what this entry knows of it may be
    out of date, and its connections dead, if it has not been heard from.

    :param timers: the timer service.
    :param client: calls peers.
    :param store: reads the platform.
    :param name: name of this VM.
    :param failure_domain: its failure domain.
    :param port: port of all entries.
    :param freshness: how recent the state has to be.
    :ivar platform_calls: reads and watches of the platform since the start.
    :ivar reader_calls: long polls at another entry since the start.
    """

    def __init__(
        self,
        timers: TimerService,
        client: HttpClient,
        store: PlatformClient,
        name: str,
        failure_domain: str,
        port: int,
        freshness: Freshness = DEFAULT_FRESHNESS,
    ):
        self._timers = timers
        self._freshness = freshness
        self._wait: PendingWait | None = None
        self._is_answered = False
        self._answer_timeout = AnswerTimeout(freshness.answer_within_ms)
        self._client = client
        self._store = store
        self._port = port
        self._readers = ReaderChoice(timers, name, failure_domain, freshness)
        self._known_state: Callable[[], KnownState] = lambda: NOTHING_KNOWN
        self._log_position: _LogPosition | None = None
        self._reader_ip = ""
        self._is_failing = False
        self._reads_until_ms = inf
        self._is_reading = True
        self._is_list_stale = False
        self._is_full_state_requested = False
        self.platform_calls = 0
        self.reader_calls = 0

    @property
    def reads_platform(self) -> bool:
        """Whether this entry reads the platform itself, with success except for brief failures."""
        return self._is_reading and self._timers.now_ms() < self._reads_until_ms

    def set_peers(
        self,
        membership: Membership,
        reports: PeerReports,
        known: Callable[[], KnownState] = lambda: NOTHING_KNOWN,
    ) -> None:
        """Set the peers among which readers are chosen from now on.

        :param membership: the members of the fleet.
        :param reports: their latest reports on the published state.
        :param known: returns the state of this entry, which a reader need not send.
        """
        self._readers.set_peers(membership, reports)
        self._known_state = known

    def read_all(self, on_done: Callable[[Snapshot | ReadFailure], None]) -> None:
        """Read the full state from the platform; the first time it may be some seconds stale.

        :param on_done: called with the outcome.
        """
        self._log_position = None
        self._is_reading = True
        self.platform_calls += 1
        is_first = self._readers.start()

        def done(outcome: Snapshot | ReadFailure) -> None:
            self._on_platform_outcome(outcome)
            if isinstance(outcome, Snapshot):
                self._is_full_state_requested = False
            self._is_list_stale = is_first and isinstance(outcome, Snapshot)
            on_done(outcome)

        self._store.read_all(done, allow_stale=is_first)

    def request_full_state(self) -> None:
        """Make the next wait return the full state, or the failure that it has to be listed."""
        self._is_full_state_requested = True

    def wait_for_changes(self, after_revision: Revision, on_done: OnOutcome) -> None:
        """Wait for changes, at the reader or the platform.

        :param after_revision: the revision after which changes are wanted.
        :param on_done: called with the outcome.
        """
        self._wait = PendingWait(after_revision, on_done)
        self._begin(self._wait)

    def confirm(self) -> None:
        """Ask the platform at once, on a new connection, in place of a wait that is pending."""
        wait = self._wait
        if wait is None or wait.is_question:
            return
        wait.cancel()
        log_event("wait-abandoned", level="warning", reader=self._reader_ip)
        if self._reader_ip:
            self._readers.avoid(self._reader_ip)
        self._is_answered = False
        self._ask_platform(wait)

    def _begin(self, wait: PendingWait) -> None:
        """Begin a wait at the reader, at the platform, or until it is known who reads."""
        reader = self._readers.choose(self._is_failing)
        if reader is not None:
            self._ask_reader(wait, reader)
        elif self._readers.is_joining():
            wait.cancel = self._timers.after(JOIN_POLL_MS, lambda: self._begin(wait)).cancel
        elif self._is_list_stale:
            # An entry that reads for others needs the latest state, from which changes are
            # reported.
            self._timers.after(0, lambda: self._end(wait, STALE_LIST))
        elif self._is_full_state_requested:
            self._timers.after(0, lambda: self._end(wait, RESYNC))
        else:
            self._ask_platform(wait)

    def _end(self, wait: PendingWait, outcome: Changes | Snapshot | ReadFailure) -> None:
        if wait is self._wait:
            self._wait = None
            wait.on_done(outcome)

    def _ask_reader(self, wait: PendingWait, reader: Member) -> None:
        if reader.ip != self._reader_ip:
            self._log_position, self._reader_ip = None, reader.ip
            log_event("reader-chosen", reader=reader.name)
        self._is_reading = self._is_answered = False
        self.reader_calls += 1
        known = self._known_state()
        position = self._position_parameters(wait.after_revision)
        call_id = self._client.call(
            reader.ip,
            self._port,
            "GET",
            with_query(CHANGES_PATH, position + known.query_parameters()),
            timeout_ms=self._freshness.confirm_within_ms + RESPONSE_MARGIN_MS,
            on_done=lambda outcome: self._on_reader_outcome(wait, reader, outcome, known),
        )
        wait.cancel = lambda: self._client.cancel(call_id)

    def _position_parameters(self, known: Revision) -> list[str]:
        position = self._log_position
        if position is None or position.era != known.era or self._is_full_state_requested:
            return []
        return [f"log={position.log_id}&after={position.position}"]

    def _ask_platform(self, wait: PendingWait) -> None:
        # Changes from the platform invalidate the position in a reader's log.
        self._log_position, self._reader_ip = None, ""
        self._is_reading = True
        self.platform_calls += 1
        wait.is_question = not self._is_answered
        wait_ms = 0.0 if wait.is_question else self._freshness.watch_ms

        sent_ms = self._timers.now_ms()

        def done(outcome: Changes | ReadFailure) -> None:
            if not isinstance(outcome, ReadFailure):
                self._answer_timeout.on_answer(self._timers.now_ms() - sent_ms - wait_ms)
            elif outcome.code == TIMEOUT:
                self._answer_timeout.on_timeout()
            self._on_platform_outcome(outcome)
            self._end(wait, outcome)

        timeout_ms = wait_ms + self._answer_timeout.timeout_ms
        wait.cancel = self._store.wait_for_changes(wait.after_revision, wait_ms, timeout_ms, done)

    def _on_platform_outcome(self, outcome: Changes | Snapshot | ReadFailure) -> None:
        self._is_answered = not isinstance(outcome, ReadFailure)
        self._is_failing = isinstance(outcome, ReadFailure) and not outcome.history_lost
        if not self._is_failing:
            self._reads_until_ms = inf
        elif outcome.connection_lost:
            self._reads_until_ms = min(self._reads_until_ms, self._timers.now_ms() + CUT_GRACE_MS)
        else:
            self._reads_until_ms = -inf

    def _on_reader_outcome(
        self, wait: PendingWait, reader: Member, outcome: Reply | Failure, known: KnownState
    ) -> None:
        code = _failure_code(outcome)
        received = None
        if not code:
            try:
                received = decode_state(outcome.body, known)
            except StateError as error:
                code = error.code
        is_behind = received is not None and received.state.revision < wait.after_revision
        if is_behind and not self._is_list_stale:
            code = "behind"
        current = self._known_state().revision
        if not code and current.era > wait.after_revision.era:
            log_event("reader-not-followed", reader=reader.name, code=ERA_CHANGED)
            self._log_position = None
            self.wait_for_changes(current, wait.on_done)
            return
        if code:
            self._on_reader_failure(wait, reader, isinstance(outcome, Failure), code)
            return
        self._log_position = _LogPosition(
            received.log_id, received.position, received.state.revision.era
        )
        self._is_list_stale = self._is_full_state_requested = False
        self._end(wait, received.state)

    def _on_reader_failure(
        self, wait: PendingWait, reader: Member, is_lost: bool, code: str
    ) -> None:
        log_event("reader-failed", level="warning", reader=reader.name, code=code)
        is_joining = self._readers.is_joining()
        if is_lost or not is_joining:
            self._readers.avoid(reader.ip)
        if is_joining:
            wait.cancel = self._timers.after(JOIN_RETRY_MS, lambda: self._begin(wait)).cancel
        else:
            self._ask_platform(wait)


def _failure_code(outcome: Reply | Failure) -> str:
    if isinstance(outcome, Failure):
        return outcome.code
    return "" if outcome.status == 200 else f"status-{outcome.status}"
