"""Searchers that a copy of the platform lists again after they were gone."""

from collections.abc import Callable, Container

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.timing import TimerHandle, TimerService

PROOF_MS = 5_000.0
"""A searcher that is still published after so long has written again: its lease, three heartbeats
of 1.2 s, would have run out, and a late answer would have come."""
RECHECK_MS = 500.0
"""How often an entry that hears nothing looks whether it has heard since."""


class UnprovenSearchers:
    """Searchers that a copy of the platform lists again after they were gone.

    Most of them have left for good. Each is kept aside until it writes again, is removed, or is
    known to have been listed for longer than a lease.

    :param timers: the timer service.
    :param confirmed_ms: tells up to when what is published is known.
    :param on_proven: told each searcher that has outlasted its lease.
    """

    def __init__(
        self,
        timers: TimerService,
        confirmed_ms: Callable[[], float],
        on_proven: Callable[[Searcher], None],
    ):
        self._timers = timers
        self._confirmed_ms = confirmed_ms
        self._on_proven = on_proven
        self._searchers: dict[str, Searcher] = {}
        self._checks: dict[str, TimerHandle] = {}

    def holds(self, searcher: Searcher) -> bool:
        """Tell whether a start of a searcher, or a later one, is kept aside.

        :param searcher: the start.
        :returns: whether it is.
        """
        held = self._searchers.get(searcher.incarnation)
        return held is not None and (held.is_same_start(searcher) or searcher.started_before(held))

    def hold(self, searcher: Searcher) -> None:
        """Keep a searcher aside, from now on for the whole time.

        :param searcher: what the copy says of it.
        """
        self.discard(searcher.incarnation)
        self._searchers[searcher.incarnation] = searcher
        self._check_after(PROOF_MS, searcher, self._timers.now_ms() + PROOF_MS)

    def keep_only(self, listed: Container[str]) -> None:
        """Keep those aside no longer that a list lacks.

        :param listed: the searchers of the list.
        """
        for incarnation in [name for name in self._searchers if name not in listed]:
            self.discard(incarnation)

    def discard(self, incarnation: str) -> None:
        """Keep a searcher aside no longer: it has written again, or is not listed any more.

        :param incarnation: the searcher.
        """
        if self._searchers.pop(incarnation, None) is not None:
            self._checks.pop(incarnation).cancel()

    def _check_after(self, delay_ms: float, searcher: Searcher, proven_ms: float) -> None:
        self._checks[searcher.incarnation] = self._timers.after(
            delay_ms, lambda: self._check(searcher, proven_ms)
        )

    def _check(self, searcher: Searcher, proven_ms: float) -> None:
        if self._confirmed_ms() < proven_ms:
            self._check_after(RECHECK_MS, searcher, proven_ms)
            return
        self.discard(searcher.incarnation)
        self._on_proven(searcher)
