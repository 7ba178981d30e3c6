"""The published searchers, and those that are retained for a while after they vanished."""

from collections.abc import Callable, Iterable, Mapping

from rhubarbhinge.fleet import Fleet, Searcher
from rhubarbhinge.published._lapsed_names import LapsedNames
from rhubarbhinge.published._removed_starts import RemovedStarts
from rhubarbhinge.published._searcher_event_log import SearcherEventLog
from rhubarbhinge.published._searchers_digest import searchers_digest
from rhubarbhinge.published._unverified_searchers import UnverifiedSearchers
from rhubarbhinge.telemetry import log_event
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.revision import Revision

OUTAGE_GRACE_MS = 2_000.0
"""Time within which store entries that lapsed during an outage of the platform are published again
if their searchers are alive."""
MASS_LAPSE_COUNT = 5
MASS_LAPSE_SHARE = 0.1
"""When at least this number of store entries, and this share of all, vanish with one response of
the platform, their leases ran out during an outage that went unnoticed: searchers that leave do so
one by one, or report first that they are draining."""
MASS_LAPSE_SILENCE_MS = 2_400.0
"""Store entries count as a mass lapse only if the platform has sent nothing to any entry known here
for this time. No lease runs out sooner: it is three heartbeats of 1.2 s, of which one may have gone
by when the platform became silent."""
MASS_LAPSE_GRACE_MS = 1_500.0
"""How long the store entries of a mass lapse are retained. When this was observed, they came back
within 1.3 s. A searcher that has left serves for at least another three seconds, so that no request
reaches it too late."""


class PublishedSearchers:
    """The published searchers, and those that are retained for a while after they vanished.

    Store entries that are missing after an outage of the platform are retained for
    ``OUTAGE_GRACE_MS``, those that vanish together with many others for ``MASS_LAPSE_GRACE_MS``;
    after that they are removed. A start of a searcher is never replaced by an earlier one.

    :param timers: the timer service.
    :param fleet: receives the searchers.
    :param revision: returns the current revision, for log events.
    :param on_change: called with each added or changed searcher, and with the incarnation of each
        removed one.
    :param confirmed_ms: returns the time up to which the published state is confirmed.
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
        self._confirmed_ms = confirmed_ms
        self._lapsed = LapsedNames(timers, self._remove)
        self._removed_starts = RemovedStarts()
        self._unverified = UnverifiedSearchers(timers, confirmed_ms, self.update)
        self._event_log = SearcherEventLog(timers)
        self._retain_until_ms = float("-inf")
        self._last_response_ms = float("-inf")
        self._silence_ms = 0.0

    def all(self) -> tuple[Searcher, ...]:
        """Return all known searchers, including the retained ones.

        :returns: the searchers.
        """
        return tuple(self._by_incarnation.values())

    def digest(self) -> str:
        """Compute a digest of all known searchers.

        :returns: the digest.
        """
        return searchers_digest(self._by_incarnation.values())

    def lapsed_ms(self) -> dict[str, float]:
        """Return how much longer searchers are retained that are no longer published.

        :returns: times by incarnation.
        """
        return self._lapsed.remaining_ms()

    def on_platform_response(self) -> None:
        """Record a response of the platform, and how long it had been silent before."""
        now_ms = self._timers.now_ms()
        self._silence_ms = now_ms - max(self._last_response_ms, self._confirmed_ms())
        self._last_response_ms = now_ms

    def on_platform_restored(self) -> None:
        """Retain searchers that a restored platform lacks until they have had time to write."""
        self._lapsed.restart_periods(OUTAGE_GRACE_MS)
        self._retain_vanishing(OUTAGE_GRACE_MS)

    def on_platform_back(self) -> None:
        """Retain searchers that vanish from now on for a while, as there was an outage."""
        self._retain_vanishing(OUTAGE_GRACE_MS)

    def update(self, searcher: Searcher, is_lapsed: bool = False, is_logged: bool = True) -> None:
        """Add or update a searcher, unless the update is about an earlier start than the known one.

        Such a store entry was written late, by or on behalf of a start that has ended. It does not
        show that the later start has left.

        :param searcher: the published searcher.
        :param is_lapsed: whether it is no longer published, and only retained by the sender.
        :param is_logged: whether to log the update.
        """
        known = self._by_incarnation.get(searcher.incarnation)
        if self._removed_starts.has_later(searcher):
            return
        self._unverified.discard(searcher.incarnation)
        if known is not None and searcher.started_before(known):
            return
        if known is not None and known.is_same_start(searcher):
            searcher = known.updated_by(searcher)
        if not is_lapsed:
            self._end_lapse(searcher)
        self._put(searcher, is_logged)

    def apply_change(self, searcher: Searcher, may_be_obsolete: bool) -> None:
        """Apply an incremental change of a searcher.

        :param searcher: the added or changed searcher.
        :param may_be_obsolete: whether it comes from a peer that follows a restored platform, and
            that may not have known that the searcher had left.
        """
        if may_be_obsolete and self._was_removed(searcher):
            self._unverified.add(searcher)
        else:
            self.update(searcher)

    def replace(
        self,
        searchers: Iterable[Searcher],
        lapsed_ms: Mapping[str, float],
        by_peer: bool,
        restored: bool = False,
        may_be_obsolete: bool = False,
    ) -> None:
        """Apply a complete list of searchers; those that it lacks are no longer published.

        :param searchers: the searchers.
        :param lapsed_ms: those that a peer only retains, with the remaining times.
        :param by_peer: whether the list comes from a peer.
        :param restored: whether it comes from a platform restored from a backup.
        :param may_be_obsolete: whether it may include searchers that had left, as a backup may.
        """
        searchers = list(searchers)
        listed = {searcher.incarnation for searcher in searchers}
        is_first = not self._by_incarnation
        for searcher in searchers:
            is_lapsed = searcher.incarnation in lapsed_ms
            if is_lapsed and self._was_removed(searcher):
                continue
            if self._unverified.has_same_or_later(searcher) and not restored:
                continue
            if may_be_obsolete and self._was_removed(searcher):
                self._unverified.add(searcher)
            else:
                self.update(searcher, is_lapsed, is_logged=not is_first)
        self.retain(lapsed_ms)
        if is_first:
            # A single line, as callers wait while a process starts.
            log_event("searchers-listed", searchers=len(listed), revision=str(self._revision()))
        self._unverified.discard_unlisted(listed)
        missing = [name for name in self._by_incarnation if name not in listed]
        # A peer that follows a restored platform may never have known, and so not have retained,
        # what the backup lacks.
        self.remove_unpublished(missing, by_peer and not restored)

    def retain(self, lapsed_ms: Mapping[str, float]) -> None:
        """Retain searchers that are no longer published for as long as a peer does.

        :param lapsed_ms: remaining times by incarnation.
        """
        for incarnation, remaining_ms in lapsed_ms.items():
            if incarnation in self._by_incarnation:
                self._lapsed.retain(incarnation, remaining_ms)

    def remove_unpublished(self, incarnations: Iterable[str], by_peer: bool) -> None:
        """Remove searchers that are no longer published, at once or after a grace period.

        :param incarnations: the searchers.
        :param by_peer: whether a peer reports it, which has observed the grace period itself.
        """
        incarnations = list(incarnations)
        for incarnation in incarnations:
            self._unverified.discard(incarnation)
        vanished = [name for name in incarnations if name in self._by_incarnation]
        if not by_peer:
            vanished = [name for name in vanished if name not in self._lapsed]
            self._detect_mass_lapse(vanished)
        grace_ms = self._retain_until_ms - self._timers.now_ms()
        for incarnation in vanished:
            if by_peer or grace_ms <= 0 or self._by_incarnation[incarnation].draining:
                self._remove(incarnation)
            else:
                self._lapsed.retain(incarnation, grace_ms)

    def remove_overwritten(self, incarnations: Iterable[str]) -> None:
        """Remove searchers whose store entries were overwritten by unusable values.

        :param incarnations: the searchers.
        """
        for incarnation in incarnations:
            self._unverified.discard(incarnation)
            if incarnation in self._by_incarnation:
                self._remove(incarnation)

    def _was_removed(self, searcher: Searcher) -> bool:
        is_known = searcher.incarnation in self._by_incarnation
        return not is_known and self._removed_starts.has_same_or_later(searcher)

    def _end_lapse(self, searcher: Searcher) -> None:
        """Record that a lapsed searcher is published again, also for followers of this entry."""
        if searcher.incarnation in self._lapsed:
            self._lapsed.discard(searcher.incarnation)
            self._on_change(searcher)

    def _put(self, searcher: Searcher, is_logged: bool) -> None:
        known = self._by_incarnation.get(searcher.incarnation)
        if known == searcher:
            return
        self._by_incarnation[searcher.incarnation] = searcher
        self._on_change(searcher)
        self._fleet.put(searcher)
        is_same_start = known is not None and known.is_same_start(searcher)
        if is_logged and not (is_same_start and known.draining == searcher.draining):
            self._event_log.add_published(searcher)

    def _detect_mass_lapse(self, vanished: list[str]) -> None:
        """Retain searchers if too many vanish at once for all of them to have left."""
        lapsed = [name for name in vanished if not self._by_incarnation[name].draining]
        if self._silence_ms < MASS_LAPSE_SILENCE_MS:
            return
        if len(lapsed) >= max(MASS_LAPSE_COUNT, MASS_LAPSE_SHARE * len(self._by_incarnation)):
            log_event("searchers-lapsed", level="warning", searchers=len(lapsed))
            self._retain_vanishing(MASS_LAPSE_GRACE_MS)

    def _retain_vanishing(self, period_ms: float) -> None:
        until_ms = self._timers.now_ms() + period_ms
        self._retain_until_ms = max(self._retain_until_ms, until_ms)

    def _remove(self, incarnation: str) -> None:
        self._lapsed.discard(incarnation)
        removed = self._by_incarnation.pop(incarnation, None)
        if removed is not None:
            self._removed_starts.add(removed)
        self._on_change(incarnation)
        self._event_log.add_removed(incarnation, self._revision())
        self._fleet.remove(incarnation)
