"""Follows the published state, and never reverts to an older one."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._change_log import Change, ChangeLog, coalesce
from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._confirmation import Confirmation
from rhubarbhinge.published._evacuated_domains import EvacuatedDomains
from rhubarbhinge.published._freshness import DEFAULT_FRESHNESS, Freshness
from rhubarbhinge.published._published_searchers import PublishedSearchers
from rhubarbhinge.published._read_backoff import ReadBackoff
from rhubarbhinge.published._read_failure import ReadFailure
from rhubarbhinge.published._resync_timer import ResyncTimer
from rhubarbhinge.published._revision_order import is_restore, may_replace
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.published._state_source import StateSource
from rhubarbhinge.published._unusable_entries import UnusableEntries
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import NO_REVISION, Revision

WATCH_PAUSE_MS = 300.0
"""Pause between two watches, so that changes in quick succession cost a single call."""


class Follower:
    """Follows the published state.

    The version of the serving plan only grows, whoever sends it and whatever the platform has lost.
    Everything else is ordered by its :class:`~rhubarbhinge.utils.revision.Revision`. A failed read
    changes nothing. :class:`PublishedSearchers` and :class:`EvacuatedDomains` describe how store
    entries are treated that vanish, or that differ after the platform was restored from a backup.

    :param timers: the timer service.
    :param source: reads the published state.
    :param fleet: receives the searchers.
    :param rng: adds jitter to pauses.
    :param on_plan: called with each new serving plan.
    :param freshness: how recent the state has to be.
    :ivar log: recent changes, for entries that follow this one.
    :ivar unusable: store entries that describe no usable searcher or serving plan.
    :ivar freshness: how recent the state has to be.
    :ivar on_update: called when the log has grown, and when the platform has confirmed the state.
    """

    def __init__(
        self,
        timers: TimerService,
        source: StateSource,
        fleet: Fleet,
        rng: random.Random,
        on_plan: Callable[[ServingPlan], None],
        freshness: Freshness = DEFAULT_FRESHNESS,
    ):
        self._timers = timers
        self._source = source
        self._on_plan = on_plan
        self.plan: ServingPlan | None = None
        self.revision = NO_REVISION
        self.freshness = freshness
        self._confirmation = Confirmation(timers, freshness.confirm_within_ms, source.confirm)
        timers.on_pause(self._confirmation.on_pause)
        self._searchers = PublishedSearchers(
            timers,
            fleet,
            lambda: self.revision,
            self._record_change,
            lambda: self._confirmation.confirmed_ms,
        )
        self._evacuated = EvacuatedDomains(
            timers, fleet, lambda: self.revision, self._record_change
        )
        self._backoff = ReadBackoff(rng)
        self._resync = ResyncTimer(timers)
        self.unusable = UnusableEntries(timers.now_ms)
        self.log = ChangeLog(rng)
        self._cached_digest = (self.log.position, "")
        self.on_update: Callable[[], None] = _do_nothing

    def start(self) -> None:
        """Read the full state, then follow its changes."""
        self._confirmation.start()
        self._source.read_all(self._on_list_result)

    @property
    def needs_peers(self) -> bool:
        """Whether peers have to be asked, as reads of the platform fail or do not end."""
        return self._is_platform_lost or self._confirmation.is_overdue

    @property
    def _is_platform_lost(self) -> bool:
        return self._backoff.failures > 0

    @property
    def needs_full_state(self) -> bool:
        """Whether the full state has to be requested, although no revision indicates a change."""
        return self._resync.is_due

    def on_peer_revision(self, revision: Revision, age_ms: float) -> None:
        """Process the revision of a peer; an equal one confirms the state of this entry.

        :param revision: revision of the peer's state.
        :param age_ms: time since it was confirmed; -1 if it never was.
        """
        if revision == self.revision and age_ms >= 0:
            self._confirmation.confirm(age_ms)

    @property
    def confirmation_lapses(self) -> int:
        """How often the state was not confirmed in time."""
        return self._confirmation.lapses

    def is_current(self) -> bool:
        """Check whether the platform or a peer has confirmed the state recently.

        :returns: whether each change that has to be in force would be known here.
        """
        return 0 <= self.age_ms() <= self.freshness.apply_within_ms

    def age_ms(self) -> float:
        """Return the largest possible age of the state.

        :returns: time since it was confirmed, -1 if it never was.
        """
        return self._confirmation.age_ms()

    def snapshot(self) -> Snapshot:
        """Return the full state, to be sent to peers.

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
        """Return a digest of all known searchers, computed again only after changes.

        :returns: the digest.
        """
        position, digest = self._cached_digest
        if position != self.log.position:
            digest = self._searchers.digest()
            self._cached_digest = (self.log.position, digest)
        return digest

    def changes_since(self, log_id: str, position: int) -> Changes | Snapshot:
        """Return the changes since a position of the log.

        :param log_id: id of the log to which the position belongs.
        :param position: the position.
        :returns: the changes; the full state if the log no longer holds all of them.
        """
        changes = self.log.since(log_id, position)
        if changes is None:
            return self.snapshot()
        latest = coalesce(changes)
        return Changes(
            self.revision,
            latest.plan,
            latest.searchers,
            latest.removed,
            self.age_ms(),
            True,
            self._searchers.lapsed_ms(),
            evacuations=latest.evacuations,
        )

    def _record_change(self, change: Change) -> None:
        self.log.append(change)
        self.on_update()

    def offer(self, snapshot: Snapshot) -> None:
        """Apply the state of a peer if it is newer.

        :param snapshot: the peer's state.
        """
        self._adopt_plan(snapshot.plan, by_peer=True)
        is_resync = self.needs_full_state and snapshot.revision == self.revision
        if snapshot.revision > self.revision or not self._confirmation.is_known or is_resync:
            self._apply_snapshot(snapshot, by_peer=True)
        elif snapshot.revision == self.revision:
            self._confirmation.confirm(snapshot.age_ms)

    # Reading.

    def _on_list_result(self, outcome: Snapshot | ReadFailure) -> None:
        if isinstance(outcome, ReadFailure):
            self._on_read_failure(outcome, self.start)
            return
        self._on_read_success(by_peer=False)
        self._apply_snapshot(outcome, by_peer=False)
        self.on_update()
        self._watch()

    def _apply_snapshot(self, snapshot: Snapshot, by_peer: bool) -> None:
        self._adopt_plan(snapshot.plan, by_peer)
        if not may_replace(self.revision, self._confirmation.is_known, snapshot):
            self._log_rejected_state(snapshot.revision, snapshot.plan, by_peer)
            return
        restored = is_restore(self.revision, snapshot.revision)
        if restored:
            self._on_platform_restored(snapshot.revision, by_peer)
            self._searchers.on_platform_restored()
        if not by_peer:
            self.unusable.replace(snapshot.unusable)
        if snapshot.evacuated is not None:
            self._evacuated.replace(snapshot.evacuated, restored)
        self._searchers.remove_overwritten(one.incarnation for one in snapshot.unusable)
        self._searchers.replace(
            snapshot.searchers,
            snapshot.lapsed_ms,
            by_peer,
            restored,
            may_be_obsolete=self._resync.is_settling,
        )
        self._resync.on_full_state(by_peer)
        self.revision = snapshot.revision
        self._confirmation.confirm(snapshot.age_ms)

    def _watch(self) -> None:
        after = self.revision
        if self.needs_full_state:
            self._source.request_full_state()
        self._source.wait_for_changes(after, lambda outcome: self._on_watch_result(outcome, after))

    def _on_watch_result(self, outcome: Changes | Snapshot | ReadFailure, after: Revision) -> None:
        if isinstance(outcome, ReadFailure):
            if outcome.history_lost:
                self._list_again(outcome.code)
            else:
                self._on_read_failure(outcome, self._watch)
            return
        by_peer = isinstance(outcome, Snapshot) or outcome.by_peer
        self._on_read_success(by_peer)
        if isinstance(outcome, Snapshot):
            self._backoff.on_changes_received()
            self._apply_snapshot(outcome, by_peer=True)
            self._timers.after(0, self._watch)
            return
        if not by_peer and (outcome.revision.era != after.era or self.revision < after):
            # Changes between the current revision and the first received one may be missing.
            self._list_again("other-era")
            return
        self._backoff.on_changes_received()
        self._apply_changes(outcome)
        if not by_peer:
            self.on_update()
        self._timers.after(0 if by_peer else WATCH_PAUSE_MS, self._watch)

    def _on_read_failure(self, failure: ReadFailure, retry: Callable[[], None]) -> None:
        if not self._is_platform_lost:
            revision = str(self.revision)
            log_event("platform-lost", level="warning", code=failure.code, revision=revision)
        self._timers.after(self._backoff.after_failure(failure.overloaded), retry)

    def _list_again(self, code: str) -> None:
        """List the full state, as changes since the current revision are not available.

        The first time at once; with a backoff if the platform then offers no changes either.
        """
        log_event("history-lost", code=code, revision=str(self.revision))
        delay_ms = self._backoff.after_history_loss()
        if delay_ms:
            self._timers.after(delay_ms, self.start)
        else:
            self.start()

    def _on_read_success(self, by_peer: bool) -> None:
        if not by_peer:
            self._searchers.on_platform_response()
        if self._is_platform_lost:
            failures = self._backoff.failures
            log_event("platform-regained", failures=failures, revision=str(self.revision))
            self._backoff.on_read_success()
            self._searchers.on_platform_back()

    # Applying.

    def _adopt_plan(self, plan: ServingPlan | None, by_peer: bool) -> None:
        if plan is None or (self.plan is not None and plan.version <= self.plan.version):
            return
        before = None if self.plan is None else self.plan.version
        self.plan = plan
        log_event(
            "plan-adopted",
            version=plan.version,
            before=before,
            routes=len(plan.routes),
            by_peer=by_peer,
            age_ms=round(self.age_ms()),
        )
        self._record_change(plan)
        self._on_plan(plan)

    def _apply_changes(self, changes: Changes) -> None:
        self._adopt_plan(changes.plan, changes.by_peer)
        if changes.revision < self.revision:
            self._log_rejected_state(changes.revision, changes.plan, changes.by_peer)
            return
        if is_restore(self.revision, changes.revision):
            # These come from the log of a peer, which has retained what the backup lacks.
            self._on_platform_restored(changes.revision, changes.by_peer)
        self._evacuated.apply(changes.evacuations)
        self.unusable.discard_searchers(searcher.incarnation for searcher in changes.searchers)
        self.unusable.discard_searchers(changes.removed)
        self.unusable.add(changes.unusable)
        self._searchers.remove_overwritten(one.incarnation for one in changes.unusable)
        for searcher in changes.searchers:
            self._searchers.apply_change(searcher, changes.by_peer and self._resync.is_settling)
        self._searchers.retain(changes.lapsed_ms)
        self._searchers.remove_unpublished(changes.removed, changes.by_peer)
        self.revision = changes.revision
        self._confirmation.confirm(changes.age_ms)

    def _on_platform_restored(self, revision: Revision, by_peer: bool) -> None:
        self._resync.on_platform_restored()
        log_event(
            "platform-restored",
            level="warning",
            by_peer=by_peer,
            revision=str(revision),
            before=str(self.revision),
        )

    def _log_rejected_state(
        self, revision: Revision, plan: ServingPlan | None, by_peer: bool
    ) -> None:
        log_event(
            "state-not-taken",
            level="warning",
            by_peer=by_peer,
            revision=str(revision),
            known=str(self.revision),
            version=None if plan is None else plan.version,
            known_version=None if self.plan is None else self.plan.version,
        )


def _do_nothing() -> None:
    pass
