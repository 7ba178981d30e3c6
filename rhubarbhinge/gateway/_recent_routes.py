"""Which routes callers asked for lately."""

from collections import Counter
from collections.abc import Callable, Iterable

SPAN_MS = 5_000.0
"""Requests of this and the last such span count; callers ask some ten times a second."""


class RecentRoutes:
    """Counts requests by route over the last seconds.

    :param now_ms: gives the time.
    """

    def __init__(self, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._since_ms = now_ms()
        self._now: Counter[str] = Counter()
        self._before: Counter[str] = Counter()

    def add(self, route_name: str) -> None:
        """Count a request.

        :param route_name: its route.
        """
        self._turn()
        self._now[route_name] += 1

    def counts(self) -> Iterable[tuple[str, int]]:
        """Give the counts.

        :returns: names of routes and numbers of requests.
        """
        self._turn()
        return (self._now + self._before).items()

    def _turn(self) -> None:
        now_ms = self._now_ms()
        if now_ms - self._since_ms < SPAN_MS:
            return
        recent = now_ms - self._since_ms < 2 * SPAN_MS
        self._before = self._now if recent else Counter()
        self._now = Counter()
        self._since_ms = now_ms
