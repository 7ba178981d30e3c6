"""Deadline queue with buckets of one millisecond."""

import heapq
from typing import Any


class Deadlines:
    """Items by due time; adding is a list append, since most items end before they are due.

    Ended items stay until they are due; the caller then skips them.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, list[Any]] = {}
        self._times_ms: list[int] = []

    def bucket(self, due_ms: int) -> list[Any]:
        """Return the bucket of one millisecond, to append items to.

        :param due_ms: due time in ms.
        :returns: mutable list, valid until the next :meth:`pop_due`.
        """
        found = self._buckets.get(due_ms)
        if found is None:
            found = self._buckets[due_ms] = []
            heapq.heappush(self._times_ms, due_ms)
        return found

    def pop_due(self, now_ms: int) -> list[Any]:
        """Remove and return due items.

        :param now_ms: current time in ms.
        :returns: the items, earliest first.
        """
        due: list[Any] = []
        while self._times_ms and self._times_ms[0] <= now_ms:
            due += self._buckets.pop(heapq.heappop(self._times_ms))
        return due

    def next_ms(self) -> int | None:
        """Return the earliest due time.

        :returns: time in ms, or None if there are no items.
        """
        return self._times_ms[0] if self._times_ms else None
