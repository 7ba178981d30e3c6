"""Follows what is published, and never goes back."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._change_log import Change, ChangeLog, newest_of
from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._evacuated_domains import EvacuatedDomains
from rhubarbhinge.published._order import is_restored, may_replace
from rhubarbhinge.published._published_searchers import PublishedSearchers
from rhubarbhinge.published._read_fault import ReadFault
from rhubarbhinge.published._read_pauses import ReadPauses
from rhubarbhinge.published._settling import Settling
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.published._source import Source
from rhubarbhinge.published._unusable_entries import UnusableEntries
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import NO_REVISION, Revision

WATCH_PAUSE_MS = 300.0
"""Pause between two watches, so that changes that come in series cost one call together."""
CURRENT_MS = 7_000.0
"""Without an answer for so long, a change may have been missed: one watch and its timeout."""


class Follower:
    """Follows what is published.

    The configuration's version only grows, whoever tells it and whatever the platform has lost. All
    else is ordered by its :class:`~rhubarbhinge.utils.revision.Revision`. A failed read changes
    nothing. What becomes of entries that vanish, or that a copy of the platform holds otherwise, is
    told in :class:`PublishedSearchers` and :class:`EvacuatedDomains`.

    :param timers: the timer service.
    :param source: reads the platform.
    :param fleet: gets the searchers.
    :param rng: spreads the pauses.
    :param on_plan: told each new configuration.
    :ivar log: the latest changes, for entries that follow this one.
    :ivar unusable: what the platform holds that names no searcher to use, or is no configuration.
    :ivar on_changed: called when the log has grown.
    """

    def __init__(
        self,
        timers: TimerService,
        source: Source,
        fleet: Fleet,
        rng: random.Random,
        on_plan: Callable[[ServingPlan], None],
    ):
        self._timers = timers
        self._source = source
        self._on_plan = on_plan
        self.plan: ServingPlan | None = None
        self.revision = NO_REVISION
        self._searchers = PublishedSearchers(
            timers, fleet, lambda: self.revision, self._changed, lambda: self._confirmed_ms
        )
        self._evacuated = EvacuatedDomains(timers, fleet, lambda: self.revision, self._changed)
        self._confirmed_ms = float("-inf")
        self._pauses = ReadPauses(rng)
        self._settling = Settling(timers)
        self.unusable = UnusableEntries(timers.now_ms)
        self.log = ChangeLog(rng)
        self._digest_at = (self.log.position, "")
        self.on_changed: Callable[[], None] = _nothing

    def start(self) -> None:
        """Read everything, then follow the changes."""
        self._source.read_all(self._listed)

    @property
    def needs_peers(self) -> bool:
        """Whether the platform does not answer, so that peers have to be asked."""
        return self._pauses.failures > 0

    @property
    def wants_all(self) -> bool:
        """Whether everything is to be asked for once more, though no revision says so."""
        return self._settling.wants_all

    def on_peer_revision(self, revision: Revision, age_ms: float) -> None:
        """Hear how far a peer is; one that is no further confirms what is known here.

        :param revision: revision of the peer's state.
        :param age_ms: time since it was confirmed; -1 if it never was.
        """
        if revision == self.revision and age_ms >= 0:
            self._confirm(age_ms)

    def is_current(self) -> bool:
        """Tell whether the platform or a peer has confirmed the state lately.

        :returns: whether a change that is older than some seconds would be known here.
        """
        return 0 <= self.age_ms() <= CURRENT_MS

    def age_ms(self) -> float:
        """Tell how old the state may be.

        :returns: time since it was confirmed, -1 if it never was.
        """
        if not self._is_confirmed:
            return -1.0
        return self._timers.now_ms() - self._confirmed_ms

    def snapshot(self) -> Snapshot:
        """Give what is known, to hand it on.

        :returns: the state.
        """
        return Snapshot(
            self.revision,
            self.plan,
            self._searchers.all(),
            self.age_ms(),
            self._searchers.lapsed_ms(),
            evacuated=self.evacuated,
        )

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The failure domains whose searchers get no requests."""
        return self._evacuated.all()

    def searchers_digest(self) -> str:
        """Give a digest of all searchers that are known, worked out anew after changes only.

        :returns: the digest.
        """
        position, digest = self._digest_at
        if position != self.log.position:
            digest = self._searchers.digest()
            self._digest_at = (self.log.position, digest)
        return digest

    def changes_since(self, log_id: str, position: int) -> Changes | Snapshot:
        """Give what was taken over here since a position of the log.

        :param log_id: the log that the position is of.
        :param position: the position.
        :returns: the changes; everything when they are not known.
        """
        changes = self.log.since(log_id, position)
        if changes is None:
            return self.snapshot()
        newest = newest_of(changes)
        return Changes(
            self.revision,
            newest.plan,
            newest.searchers,
            newest.removed,
            self.age_ms(),
            True,
            self._searchers.lapsed_ms(),
            evacuations=newest.evacuations,
        )

    def _changed(self, change: Change) -> None:
        self.log.add(change)
        self.on_changed()

    def offer(self, snapshot: Snapshot) -> None:
        """Take what a peer knows, if it is newer.

        :param snapshot: the peer's state.
        """
        self._take_plan(snapshot.plan)
        asked_for = self.wants_all and snapshot.revision == self.revision
        if snapshot.revision > self.revision or not self._is_confirmed or asked_for:
            self._take_snapshot(snapshot, by_peer=True)
        elif snapshot.revision == self.revision:
            self._confirm(snapshot.age_ms)

    @property
    def _is_confirmed(self) -> bool:
        return self._confirmed_ms > float("-inf")

    def _confirm(self, age_ms: float) -> None:
        if age_ms < 0:
            return
        self._confirmed_ms = max(self._confirmed_ms, self._timers.now_ms() - age_ms)

    # Reading.

    def _listed(self, outcome: Snapshot | ReadFault) -> None:
        if isinstance(outcome, ReadFault):
            self._failed(outcome, self.start)
            return
        self._answered(by_peer=False)
        self._take_snapshot(outcome, by_peer=False)
        self._watch()

    def _take_snapshot(self, snapshot: Snapshot, by_peer: bool) -> None:
        self._take_plan(snapshot.plan)
        if not may_replace(self.revision, self._is_confirmed, snapshot):
            self._note_not_taken(snapshot.revision, snapshot.plan, by_peer)
            return
        restored = is_restored(self.revision, snapshot.revision)
        if restored:
            self._on_restored(snapshot.revision, by_peer)
            self._searchers.on_restored()
        if not by_peer:
            self.unusable.replace(snapshot.unusable)
        if snapshot.evacuated is not None:
            self._evacuated.replace(snapshot.evacuated, restored)
        self._searchers.withdraw(entry.incarnation for entry in snapshot.unusable)
        self._searchers.replace(
            snapshot.searchers,
            snapshot.lapsed_ms,
            by_peer,
            restored,
            may_be_left_over=self._settling.is_under_way,
        )
        self._settling.on_all_told(by_peer)
        self.revision = snapshot.revision
        self._confirm(snapshot.age_ms)

    def _watch(self) -> None:
        after = self.revision
        if self.wants_all:
            self._source.ask_for_all()
        self._source.wait_for_changes(after, lambda outcome: self._told(outcome, after))

    def _told(self, outcome: Changes | Snapshot | ReadFault, after: Revision) -> None:
        if isinstance(outcome, ReadFault):
            if outcome.history_lost:
                self._list_again(outcome.code)
            else:
                self._failed(outcome, self._watch)
            return
        by_peer = isinstance(outcome, Snapshot) or outcome.by_peer
        self._answered(by_peer)
        if isinstance(outcome, Snapshot):
            self._pauses.on_changes_told()
            self._take_snapshot(outcome, by_peer=True)
            self._timers.after(0, self._watch)
            return
        if not by_peer and (outcome.revision.era != after.era or self.revision < after):
            # Between what is known and the first change told, others may be missing.
            self._list_again("other-era")
            return
        self._pauses.on_changes_told()
        self._apply(outcome)
        self._timers.after(0 if by_peer else WATCH_PAUSE_MS, self._watch)

    def _failed(self, fault: ReadFault, again: Callable[[], None]) -> None:
        if not self.needs_peers:
            revision = str(self.revision)
            log_event("platform-lost", level="warning", code=fault.code, revision=revision)
        self._timers.after(self._pauses.after_failure(fault.overloaded), again)

    def _list_again(self, code: str) -> None:
        """List everything, as changes are not told from the known revision on.

        At once the first time; a platform that then tells no changes either is given time.
        """
        log_event("history-lost", code=code, revision=str(self.revision))
        pause_ms = self._pauses.after_loss()
        if pause_ms:
            self._timers.after(pause_ms, self.start)
        else:
            self.start()

    def _answered(self, by_peer: bool) -> None:
        if not by_peer:
            self._searchers.on_platform_heard()
        if self.needs_peers:
            failures = self._pauses.failures
            log_event("platform-regained", failures=failures, revision=str(self.revision))
            self._pauses.on_answered()
            self._searchers.on_platform_back()

    # Taking over.

    def _take_plan(self, plan: ServingPlan | None) -> None:
        if plan is None or (self.plan is not None and plan.version <= self.plan.version):
            return
        before = None if self.plan is None else self.plan.version
        self.plan = plan
        log_event("plan-adopted", version=plan.version, before=before, routes=len(plan.routes))
        self._changed(plan)
        self._on_plan(plan)

    def _apply(self, changes: Changes) -> None:
        self._take_plan(changes.plan)
        if changes.revision < self.revision:
            self._note_not_taken(changes.revision, changes.plan, changes.by_peer)
            return
        if is_restored(self.revision, changes.revision):
            # Told by the log of a peer, which has kept what the copy lacks.
            self._on_restored(changes.revision, changes.by_peer)
        self._evacuated.apply(changes.evacuations)
        self.unusable.forget(searcher.incarnation for searcher in changes.searchers)
        self.unusable.forget(changes.removed)
        self.unusable.add(changes.unusable)
        self._searchers.withdraw(entry.incarnation for entry in changes.unusable)
        for searcher in changes.searchers:
            self._searchers.take_change(searcher, changes.by_peer and self._settling.is_under_way)
        self._searchers.keep(changes.lapsed_ms)
        self._searchers.vanish(changes.removed, changes.by_peer)
        self.revision = changes.revision
        self._confirm(changes.age_ms)

    def _on_restored(self, revision: Revision, by_peer: bool) -> None:
        self._settling.on_restored()
        log_event(
            "platform-restored",
            level="warning",
            by_peer=by_peer,
            revision=str(revision),
            before=str(self.revision),
        )

    def _note_not_taken(self, revision: Revision, plan: ServingPlan | None, by_peer: bool) -> None:
        log_event(
            "state-not-taken",
            level="warning",
            by_peer=by_peer,
            revision=str(revision),
            known=str(self.revision),
            version=None if plan is None else plan.version,
            known_version=None if self.plan is None else self.plan.version,
        )


def _nothing() -> None:
    pass
