"""Counts over a sliding window."""

from collections import Counter, deque
from collections.abc import Iterable

BUCKET_MS = 500.0
"""Resolution of the counts; the window is inaccurate by at most one bucket, on the safe side."""


class WindowCounts:
    """Counts by name over a sliding window.

    :param window_ms: maximum time for which a count is kept.
    """

    def __init__(self, window_ms: float):
        self._window_ms = window_ms
        self._buckets: deque[tuple[float, Counter[str]]] = deque()
        self._totals: Counter[str] = Counter()

    def add(self, names: Iterable[str], now_ms: float, amount: int = 1) -> None:
        """Add to the count of each name.

        :param names: the names.
        :param now_ms: the current time.
        :param amount: what is added to each.
        """
        self._expire(now_ms)
        if not self._buckets or now_ms - self._buckets[-1][0] >= BUCKET_MS:
            self._buckets.append((now_ms, Counter()))
        bucket = self._buckets[-1][1]
        for name in names:
            bucket[name] += amount
            self._totals[name] += amount

    def count(self, name: str, now_ms: float) -> int:
        """Return the count of a name.

        :param name: the name.
        :param now_ms: the current time.
        :returns: its count within the window.
        """
        self._expire(now_ms)
        return self._totals[name]

    def names(self) -> list[str]:
        """Return the names that were counted within the window.

        :returns: the names.
        """
        return [name for name, count in self._totals.items() if count]

    def _expire(self, now_ms: float) -> None:
        while self._buckets and now_ms - self._buckets[0][0] > self._window_ms:
            _, bucket = self._buckets.popleft()
            self._totals.subtract(bucket)
            if not self._buckets:
                self._totals.clear()
