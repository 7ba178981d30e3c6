"""Follows what is published, and never goes back."""

import random
from collections.abc import Callable, Iterable, Mapping

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._change_log import ChangeLog
from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._gone_starts import GoneStarts
from rhubarbhinge.published._lapsed import LapsedSearchers
from rhubarbhinge.published._read_fault import ReadFault
from rhubarbhinge.published._searcher_notes import SearcherNotes
from rhubarbhinge.published._searchers_digest import searchers_digest
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.published._source import Source
from rhubarbhinge.published._unusable_entries import UnusableEntries
from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService

LEAST_BACKOFF_MS = 100.0
"""First pause after a failed read; short, as a lost answer is the most frequent cause."""
MOST_BACKOFF_MS = 1_000.0
"""Longest pause; the platform promises to have lapsed entries back two seconds after its return."""
OVERLOAD_BACKOFF_MS = 500.0
"""Least pause after the platform asked for fewer calls."""
WATCH_PAUSE_MS = 300.0
"""Pause between two watches, so that changes that come in series cost one call together."""
LAPSE_GRACE_MS = 2_000.0
"""Entries that lapsed while the platform was away are back within this time, or gone."""
LAPSE_COUNT = 5
LAPSE_SHARE = 0.1
"""When so many entries, and this part of all, vanish with one answer of the platform, their leases
ran out while it was away unnoticed; searchers leave one by one, or say before that they drain."""
LAPSE_SILENCE_MS = 2_000.0
"""They count as lapsed only when the platform has told nothing for so long; a lease runs longer."""
LAPSE_HOLD_MS = 1_500.0
"""How long these are kept. They came back within 1.3 s where this was seen; a searcher that has
left serves for at least another three seconds, so that no request comes to it too late."""
CURRENT_MS = 7_000.0
"""Without an answer for so long, a change may have been missed: one watch and its timeout."""


class Follower:
    """Follows what is published.

    The configuration's version only grows. A failed read changes nothing. Entries that are missing
    after the platform was away are kept for ``LAPSE_GRACE_MS``, those that vanish with many others
    for ``LAPSE_HOLD_MS``; then they count as gone.

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
        self._fleet = fleet
        self._rng = rng
        self._on_plan = on_plan
        self.plan: ServingPlan | None = None
        self.revision = 0
        self._searchers: dict[str, Searcher] = {}
        self._confirmed_ms: float | None = None
        self._failures = 0
        self._keep_until_ms = float("-inf")
        self._told_ms = float("-inf")
        self._silence_ms = 0.0
        self._lapsed = LapsedSearchers(timers, self._remove)
        self._gone_starts = GoneStarts()
        self._notes = SearcherNotes(timers)
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
        return self._failures > 0

    def on_peer_revision(self, revision: int, age_ms: float) -> None:
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
        if self._confirmed_ms is None:
            return -1.0
        return self._timers.now_ms() - self._confirmed_ms

    def snapshot(self) -> Snapshot:
        """Give what is known, to hand it on.

        :returns: the state.
        """
        searchers = tuple(self._searchers.values())
        return Snapshot(self.revision, self.plan, searchers, self.age_ms(), self._lapsed.left_ms())

    def searchers_digest(self) -> str:
        """Give a digest of all searchers that are known, worked out anew after changes only.

        :returns: the digest.
        """
        position, digest = self._digest_at
        if position != self.log.position:
            digest = searchers_digest(self._searchers.values())
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
        plans = [change for change in changes if isinstance(change, ServingPlan)]
        newest: dict[str, Searcher | None] = {}
        for change in changes:
            if isinstance(change, Searcher):
                newest[change.incarnation] = change
            elif isinstance(change, str):
                newest[change] = None
        return Changes(
            self.revision,
            plans[-1] if plans else None,
            tuple(searcher for searcher in newest.values() if searcher is not None),
            tuple(name for name, searcher in newest.items() if searcher is None),
            self.age_ms(),
            True,
            self._lapsed.left_ms(),
        )

    def _changed(self, change: ServingPlan | Searcher | str) -> None:
        self.log.add(change)
        self.on_changed()

    def offer(self, snapshot: Snapshot) -> None:
        """Take what a peer knows, if it is newer.

        :param snapshot: the peer's state.
        """
        if snapshot.revision < self.revision:
            return
        if snapshot.revision > self.revision:
            self._take_snapshot(snapshot, by_peer=True)
        if snapshot.age_ms >= 0:
            self._confirm(snapshot.age_ms)

    def _confirm(self, age_ms: float) -> None:
        if age_ms < 0:
            return
        confirmed_ms = self._timers.now_ms() - age_ms
        if self._confirmed_ms is None or confirmed_ms > self._confirmed_ms:
            self._confirmed_ms = confirmed_ms

    # Reading.

    def _listed(self, outcome: Snapshot | ReadFault) -> None:
        if isinstance(outcome, ReadFault):
            self._failed(outcome, self.start)
            return
        self._answered(outcome.age_ms, by_peer=False)
        self._take_snapshot(outcome, by_peer=False)
        self._watch()

    def _take_snapshot(self, snapshot: Snapshot, by_peer: bool) -> None:
        if snapshot.revision >= self.revision:
            if not by_peer:
                self.unusable.replace(snapshot.unusable)
            self._withdraw(snapshot.unusable)
            self._take_plan(snapshot.plan)
            self._replace(snapshot, by_peer)

    def _watch(self) -> None:
        self._source.wait_for_changes(self.revision, self._told)

    def _told(self, outcome: Changes | Snapshot | ReadFault) -> None:
        if isinstance(outcome, ReadFault):
            if outcome.history_lost:
                log_event("history-lost", code=outcome.code, revision=self.revision)
                self.start()
            else:
                self._failed(outcome, self._watch)
            return
        by_peer = isinstance(outcome, Snapshot) or outcome.by_peer
        self._answered(outcome.age_ms, by_peer)
        if isinstance(outcome, Snapshot):
            self._take_snapshot(outcome, by_peer=True)
            self._timers.after(0, self._watch)
            return
        self._apply(outcome)
        self._timers.after(0 if by_peer else WATCH_PAUSE_MS, self._watch)

    def _failed(self, fault: ReadFault, again: Callable[[], None]) -> None:
        if not self._failures:
            log_event("platform-lost", level="warning", code=fault.code, revision=self.revision)
        self._failures += 1
        pause_ms = min(MOST_BACKOFF_MS, LEAST_BACKOFF_MS * 2 ** min(self._failures - 1, 10))
        if fault.overloaded:
            pause_ms = max(pause_ms, OVERLOAD_BACKOFF_MS)
        self._timers.after(pause_ms * self._rng.uniform(0.7, 1.3), again)

    def _answered(self, age_ms: float, by_peer: bool) -> None:
        self._confirm(age_ms)
        if not by_peer:
            now_ms = self._timers.now_ms()
            self._silence_ms = now_ms - self._told_ms
            self._told_ms = now_ms
        if self._failures:
            log_event("platform-regained", failures=self._failures, revision=self.revision)
            self._failures = 0
            self._keep_vanished(LAPSE_GRACE_MS)

    # Taking over.

    def _take_plan(self, plan: ServingPlan | None) -> None:
        if plan is None or (self.plan is not None and plan.version <= self.plan.version):
            return
        before = None if self.plan is None else self.plan.version
        self.plan = plan
        log_event("plan-adopted", version=plan.version, before=before, routes=len(plan.routes))
        self._changed(plan)
        self._on_plan(plan)

    def _replace(self, snapshot: Snapshot, by_peer: bool) -> None:
        listed = {searcher.incarnation for searcher in snapshot.searchers}
        first = not self._searchers
        for searcher in snapshot.searchers:
            lapsed = searcher.incarnation in snapshot.lapsed_ms
            self._take_searcher(searcher, lapsed, logged=not first)
        self._keep_as_told(snapshot.lapsed_ms)
        if first:
            # One line: callers wait while a process starts.
            log_event("searchers-listed", searchers=len(listed), revision=snapshot.revision)
        self._vanish([name for name in self._searchers if name not in listed], by_peer)
        self.revision = snapshot.revision

    def _apply(self, changes: Changes) -> None:
        if changes.revision < self.revision:
            return
        self._take_plan(changes.plan)
        self._note_unusable(changes)
        for searcher in changes.searchers:
            self._take_searcher(searcher)
        self._keep_as_told(changes.lapsed_ms)
        self._vanish(changes.removed, changes.by_peer)
        self.revision = changes.revision

    def _came_back(self, searcher: Searcher) -> None:
        """Note that a searcher is published, which those who follow this entry have to hear too."""
        if searcher.incarnation in self._lapsed:
            self._lapsed.discard(searcher.incarnation)
            self._changed(searcher)

    def _keep_as_told(self, lapsed_ms: Mapping[str, float]) -> None:
        for incarnation, left_ms in lapsed_ms.items():
            if incarnation in self._searchers:
                self._lapsed.keep(incarnation, left_ms)

    def _take_searcher(self, searcher: Searcher, lapsed: bool = False, logged: bool = True) -> None:
        """Take what is told of a searcher, unless it is about an earlier start than the known one.

        Such an entry was written late, by a start that is over or on its behalf; nothing says that
        the later one has left.
        """
        known = self._searchers.get(searcher.incarnation)
        if self._gone_starts.has_later(searcher):
            return
        if known is not None and searcher.started_before(known):
            return
        if known is not None and known.is_same_start(searcher):
            searcher = known.updated_by(searcher)
        if not lapsed:
            self._came_back(searcher)
        self._put(searcher, logged)

    def _put(self, searcher: Searcher, logged: bool) -> None:
        known = self._searchers.get(searcher.incarnation)
        if known == searcher:
            return
        self._searchers[searcher.incarnation] = searcher
        self._changed(searcher)
        self._fleet.put(searcher)
        same = known is not None and known.is_same_start(searcher)
        if logged and not (same and known.draining == searcher.draining):
            self._notes.published(searcher)

    def _vanish(self, incarnations: Iterable[str], by_peer: bool) -> None:
        """Take out entries that are no longer published.

        :param incarnations: the searchers.
        :param by_peer: whether a peer tells it, which has kept them long enough itself.
        """
        gone = [name for name in incarnations if name in self._searchers]
        if not by_peer:
            gone = [name for name in gone if name not in self._lapsed]
            self._note_lapse(gone)
        left_ms = self._keep_until_ms - self._timers.now_ms()
        for incarnation in gone:
            if by_peer or left_ms <= 0 or self._searchers[incarnation].draining:
                self._remove(incarnation)
            else:
                self._lapsed.keep(incarnation, left_ms)

    def _note_unusable(self, changes: Changes) -> None:
        self.unusable.forget(searcher.incarnation for searcher in changes.searchers)
        self.unusable.forget(changes.removed)
        self.unusable.add(changes.unusable)
        self._withdraw(changes.unusable)

    def _withdraw(self, unusable: Iterable[UnusableEntry]) -> None:
        """Take out searchers whose entries were overwritten by what names no searcher to use."""
        for entry in unusable:
            if entry.incarnation in self._searchers:
                self._remove(entry.incarnation)

    def _note_lapse(self, gone: list[str]) -> None:
        """Keep what vanishes from now on for a while, if too many vanish together to have left."""
        silent = [name for name in gone if not self._searchers[name].draining]
        if self._silence_ms < LAPSE_SILENCE_MS:
            return
        if len(silent) >= max(LAPSE_COUNT, LAPSE_SHARE * len(self._searchers)):
            log_event("searchers-lapsed", level="warning", searchers=len(silent))
            self._keep_vanished(LAPSE_HOLD_MS)

    def _keep_vanished(self, period_ms: float) -> None:
        until_ms = self._timers.now_ms() + period_ms
        self._keep_until_ms = max(self._keep_until_ms, until_ms)

    def _remove(self, incarnation: str) -> None:
        self._lapsed.discard(incarnation)
        removed = self._searchers.pop(incarnation, None)
        if removed is not None:
            self._gone_starts.add(removed)
        self._changed(incarnation)
        self._notes.gone(incarnation, self.revision)
        self._fleet.remove(incarnation)


def _nothing() -> None:
    pass
