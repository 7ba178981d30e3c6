"""Searchers that a restored platform lists again after they were removed."""

from collections.abc import Callable, Container

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.timing import TimerHandle, TimerService

VERIFICATION_MS = 5_000.0
"""A searcher that is still published after this time has written again: otherwise its lease, three
heartbeats of 1.2 s, would have run out, and a late response would have arrived."""
RECHECK_MS = 500.0
"""Interval at which an entry checks whether its state was confirmed since, if it was not yet."""


class UnverifiedSearchers:
    """Searchers that a restored platform lists again after they were removed.

    Most of them have left for good. Each is set aside until it writes again, is removed, or is
    known to have been listed for longer than a lease.

    :param timers: the timer service.
    :param confirmed_ms: returns the time up to which the published state is confirmed.
    :param on_verified: called with each searcher that was listed for longer than its lease.
    """

    def __init__(
        self,
        timers: TimerService,
        confirmed_ms: Callable[[], float],
        on_verified: Callable[[Searcher], None],
    ):
        self._timers = timers
        self._confirmed_ms = confirmed_ms
        self._on_verified = on_verified
        self._searchers: dict[str, Searcher] = {}
        self._checks: dict[str, TimerHandle] = {}

    def has_same_or_later(self, searcher: Searcher) -> bool:
        """Check whether a start, or a later start of the same searcher, is set aside.

        :param searcher: the start.
        :returns: whether it is.
        """
        held = self._searchers.get(searcher.incarnation)
        return held is not None and (held.is_same_start(searcher) or searcher.started_before(held))

    def add(self, searcher: Searcher) -> None:
        """Set a searcher aside, for the full verification time from now on.

        :param searcher: the searcher as the restored platform lists it.
        """
        self.discard(searcher.incarnation)
        self._searchers[searcher.incarnation] = searcher
        self._schedule_check(VERIFICATION_MS, searcher, self._timers.now_ms() + VERIFICATION_MS)

    def discard_unlisted(self, listed: Container[str]) -> None:
        """Discard the searchers that a list lacks.

        :param listed: incarnations of the searchers in the list.
        """
        for incarnation in [name for name in self._searchers if name not in listed]:
            self.discard(incarnation)

    def discard(self, incarnation: str) -> None:
        """Discard a searcher because it has written again, or is no longer listed.

        :param incarnation: the searcher.
        """
        if self._searchers.pop(incarnation, None) is not None:
            self._checks.pop(incarnation).cancel()

    def _schedule_check(self, delay_ms: float, searcher: Searcher, deadline_ms: float) -> None:
        self._checks[searcher.incarnation] = self._timers.after(
            delay_ms, lambda: self._check(searcher, deadline_ms)
        )

    def _check(self, searcher: Searcher, deadline_ms: float) -> None:
        if self._confirmed_ms() < deadline_ms:
            self._schedule_check(RECHECK_MS, searcher, deadline_ms)
            return
        self.discard(searcher.incarnation)
        self._on_verified(searcher)
