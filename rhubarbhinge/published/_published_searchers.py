"""The searchers that are published, and those that are no longer and may come back."""

from collections.abc import Callable, Iterable, Mapping

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.published._gone_starts import GoneStarts
from rhubarbhinge.published._lapsed import LapsedNames
from rhubarbhinge.published._searcher_notes import SearcherNotes
from rhubarbhinge.published._searchers_digest import searchers_digest
from rhubarbhinge.published._unproven import UnprovenSearchers
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision

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


class PublishedSearchers:
    """The searchers that are published, and those that are no longer and may come back.

    Entries that are missing after the platform was away are kept for ``LAPSE_GRACE_MS``, those that
    vanish with many others for ``LAPSE_HOLD_MS``; then they count as gone. A start of a searcher is
    never followed by an earlier one.

    :param timers: the timer service.
    :param fleet: gets the searchers.
    :param revision: gives the revision that is known, for the log.
    :param on_change: told each searcher that came or changed, and the incarnation of each that is
        gone.
    :param confirmed_ms: tells up to when what is published is known.
    """

    def __init__(
        self,
        timers: TimerService,
        fleet: Fleet,
        revision: Callable[[], Revision],
        on_change: Callable[[Searcher | str], None],
        confirmed_ms: Callable[[], float],
    ):
        self._timers = timers
        self._fleet = fleet
        self._revision = revision
        self._on_change = on_change
        self._by_incarnation: dict[str, Searcher] = {}
        self._lapsed = LapsedNames(timers, self._remove)
        self._gone_starts = GoneStarts()
        self._unproven = UnprovenSearchers(timers, confirmed_ms, self.take)
        self._notes = SearcherNotes(timers)
        self._keep_until_ms = float("-inf")
        self._told_ms = float("-inf")
        self._silence_ms = 0.0

    def all(self) -> tuple[Searcher, ...]:
        """Give all that are known, those that are kept for a while included.

        :returns: the searchers.
        """
        return tuple(self._by_incarnation.values())

    def digest(self) -> str:
        """Work out a digest of all that are known.

        :returns: the digest.
        """
        return searchers_digest(self._by_incarnation.values())

    def lapsed_ms(self) -> dict[str, float]:
        """Tell how long those are kept that are no longer published.

        :returns: times by incarnation.
        """
        return self._lapsed.left_ms()

    def on_platform_heard(self) -> None:
        """Note that the platform has told something, so as to know how long it had been silent."""
        now_ms = self._timers.now_ms()
        self._silence_ms = now_ms - self._told_ms
        self._told_ms = now_ms

    def on_restored(self) -> None:
        """Keep what a copy of the platform lacks for a while, as its searchers write again."""
        self._lapsed.keep_longer(LAPSE_GRACE_MS)
        self._keep_vanished(LAPSE_GRACE_MS)

    def on_platform_back(self) -> None:
        """Keep what vanishes from now on for a while, as the platform was away."""
        self._keep_vanished(LAPSE_GRACE_MS)

    def take(self, searcher: Searcher, lapsed: bool = False, logged: bool = True) -> None:
        """Take what is told of a searcher, unless it is about an earlier start than the known one.

        Such an entry was written late, by a start that is over or on its behalf; nothing says that
        the later one has left.

        :param searcher: what is told.
        :param lapsed: whether it is no longer published, and only kept by who tells it.
        :param logged: whether the log notes it.
        """
        known = self._by_incarnation.get(searcher.incarnation)
        if self._gone_starts.has_later(searcher):
            return
        self._unproven.discard(searcher.incarnation)
        if known is not None and searcher.started_before(known):
            return
        if known is not None and known.is_same_start(searcher):
            searcher = known.updated_by(searcher)
        if not lapsed:
            self._came_back(searcher)
        self._put(searcher, logged)

    def take_change(self, searcher: Searcher, may_be_left_over: bool) -> None:
        """Take a searcher that came or changed.

        :param searcher: what is told.
        :param may_be_left_over: whether a peer tells it that has gone on to a copy of the platform,
            and may not have known that the searcher had left.
        """
        if may_be_left_over and self._is_gone(searcher):
            self._unproven.hold(searcher)
        else:
            self.take(searcher)

    def replace(
        self,
        searchers: Iterable[Searcher],
        lapsed_ms: Mapping[str, float],
        by_peer: bool,
        restored: bool = False,
        may_be_left_over: bool = False,
    ) -> None:
        """Take a list of all; what is not in it is no longer published.

        :param searchers: the searchers.
        :param lapsed_ms: which of them a peer only keeps, and for how long.
        :param by_peer: whether a peer tells it.
        :param restored: whether it goes back to a copy.
        :param may_be_left_over: whether it may hold searchers that had left, as a copy may.
        """
        searchers = list(searchers)
        listed = {searcher.incarnation for searcher in searchers}
        first = not self._by_incarnation
        for searcher in searchers:
            lapsed = searcher.incarnation in lapsed_ms
            if lapsed and self._is_gone(searcher):
                continue
            if self._unproven.holds(searcher) and not restored:
                continue
            if may_be_left_over and self._is_gone(searcher):
                self._unproven.hold(searcher)
            else:
                self.take(searcher, lapsed, logged=not first)
        self.keep(lapsed_ms)
        if first:
            # One line: callers wait while a process starts.
            log_event("searchers-listed", searchers=len(listed), revision=str(self._revision()))
        self._unproven.keep_only(listed)
        missing = [name for name in self._by_incarnation if name not in listed]
        # Who tells of a copy may never have known what the copy lacks, and so not have kept it.
        self.vanish(missing, by_peer and not restored)

    def keep(self, lapsed_ms: Mapping[str, float]) -> None:
        """Keep searchers that are no longer published as long as a peer does.

        :param lapsed_ms: times by incarnation.
        """
        for incarnation, left_ms in lapsed_ms.items():
            if incarnation in self._by_incarnation:
                self._lapsed.keep(incarnation, left_ms)

    def vanish(self, incarnations: Iterable[str], by_peer: bool) -> None:
        """Take out entries that are no longer published.

        :param incarnations: the searchers.
        :param by_peer: whether a peer tells it, which has kept them long enough itself.
        """
        incarnations = list(incarnations)
        for incarnation in incarnations:
            self._unproven.discard(incarnation)
        gone = [name for name in incarnations if name in self._by_incarnation]
        if not by_peer:
            gone = [name for name in gone if name not in self._lapsed]
            self._note_lapse(gone)
        left_ms = self._keep_until_ms - self._timers.now_ms()
        for incarnation in gone:
            if by_peer or left_ms <= 0 or self._by_incarnation[incarnation].draining:
                self._remove(incarnation)
            else:
                self._lapsed.keep(incarnation, left_ms)

    def withdraw(self, incarnations: Iterable[str]) -> None:
        """Take out searchers whose entries were overwritten by what names no searcher to use.

        :param incarnations: the searchers.
        """
        for incarnation in incarnations:
            self._unproven.discard(incarnation)
            if incarnation in self._by_incarnation:
                self._remove(incarnation)

    def _is_gone(self, searcher: Searcher) -> bool:
        is_known = searcher.incarnation in self._by_incarnation
        return not is_known and self._gone_starts.has(searcher)

    def _came_back(self, searcher: Searcher) -> None:
        """Note that a searcher is published, which those who follow this entry have to hear too."""
        if searcher.incarnation in self._lapsed:
            self._lapsed.discard(searcher.incarnation)
            self._on_change(searcher)

    def _put(self, searcher: Searcher, logged: bool) -> None:
        known = self._by_incarnation.get(searcher.incarnation)
        if known == searcher:
            return
        self._by_incarnation[searcher.incarnation] = searcher
        self._on_change(searcher)
        self._fleet.put(searcher)
        same = known is not None and known.is_same_start(searcher)
        if logged and not (same and known.draining == searcher.draining):
            self._notes.published(searcher)

    def _note_lapse(self, gone: list[str]) -> None:
        """Keep what vanishes from now on for a while, if too many vanish together to have left."""
        silent = [name for name in gone if not self._by_incarnation[name].draining]
        if self._silence_ms < LAPSE_SILENCE_MS:
            return
        if len(silent) >= max(LAPSE_COUNT, LAPSE_SHARE * len(self._by_incarnation)):
            log_event("searchers-lapsed", level="warning", searchers=len(silent))
            self._keep_vanished(LAPSE_HOLD_MS)

    def _keep_vanished(self, period_ms: float) -> None:
        until_ms = self._timers.now_ms() + period_ms
        self._keep_until_ms = max(self._keep_until_ms, until_ms)

    def _remove(self, incarnation: str) -> None:
        self._lapsed.discard(incarnation)
        removed = self._by_incarnation.pop(incarnation, None)
        if removed is not None:
            self._gone_starts.add(removed)
        self._on_change(incarnation)
        self._notes.gone(incarnation, self._revision())
        self._fleet.remove(incarnation)
