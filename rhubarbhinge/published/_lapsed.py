"""Searchers that are no longer published and may come back."""

from collections.abc import Callable

from rhubarbhinge.timing import TimerService


class LapsedSearchers:
    """Searchers that are no longer published and may come back, each until a time of its own.

    :param timers: the timer service.
    :param on_gone: told each searcher whose time is over.
    """

    def __init__(self, timers: TimerService, on_gone: Callable[[str], None]):
        self._timers = timers
        self._on_gone = on_gone
        self._until_ms: dict[str, float] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._until_ms

    def keep(self, incarnation: str, period_ms: float) -> None:
        """Keep a searcher for a while; one that is kept already is not kept longer.

        :param incarnation: the searcher.
        :param period_ms: for how long.
        """
        until_ms = self._timers.now_ms() + max(0.0, period_ms)
        if until_ms >= self._until_ms.get(incarnation, float("inf")):
            return
        self._until_ms[incarnation] = until_ms
        self._timers.after(max(0.0, period_ms), lambda: self._end(incarnation, until_ms))

    def discard(self, incarnation: str) -> None:
        """Keep a searcher no longer: it is published again, or gone.

        :param incarnation: the searcher.
        """
        self._until_ms.pop(incarnation, None)

    def left_ms(self) -> dict[str, float]:
        """Tell how long each is kept.

        :returns: times by searcher.
        """
        now_ms = self._timers.now_ms()
        return {name: max(0.0, until_ms - now_ms) for name, until_ms in self._until_ms.items()}

    def _end(self, incarnation: str, until_ms: float) -> None:
        if self._until_ms.get(incarnation) == until_ms:
            del self._until_ms[incarnation]
            self._on_gone(incarnation)
