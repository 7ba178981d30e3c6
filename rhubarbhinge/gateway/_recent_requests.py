"""Recent requests by route."""

from collections import Counter
from collections.abc import Callable, Iterable

WINDOW_MS = 5_000.0
"""Requests in the current and the previous window are counted, at some ten requests per second."""


class RecentRequests:
    """Counts requests by route over the last seconds.

    :param now_ms: returns the current time.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._window_start_ms = now_ms()
        self._current: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()

    def add(self, route_name: str) -> None:
        """Count a request.

        :param route_name: route of the request.
        """
        self._rotate()
        self._current[route_name] += 1

    def counts(self) -> Iterable[tuple[str, int]]:
        """Return the counts.

        :returns: pairs of route name and number of requests.
        """
        self._rotate()
        return (self._current + self._previous).items()

    def _rotate(self) -> None:
        now_ms = self._now_ms()
        if now_ms - self._window_start_ms < WINDOW_MS:
            return
        recent = now_ms - self._window_start_ms < 2 * WINDOW_MS
        self._previous = self._current if recent else Counter()
        self._current = Counter()
        self._window_start_ms = now_ms
