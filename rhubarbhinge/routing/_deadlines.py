"""Items by the millisecond at which they are due."""

import heapq
from typing import Any


class Deadlines:
    """Buckets of one millisecond; adding costs an append, since most items end before they are due.

    An ended item stays until its time and is then skipped by the caller.
    """

    def __init__(self) -> None:
        self._buckets: dict[int, list[Any]] = {}
        self._times_ms: list[int] = []

    def bucket(self, due_ms: int) -> list[Any]:
        """Give the items of one millisecond, for appending.

        :param due_ms: the time.
        :returns: the list itself, valid until the next :meth:`pop_due`.
        """
        found = self._buckets.get(due_ms)
        if found is None:
            found = self._buckets[due_ms] = []
            heapq.heappush(self._times_ms, due_ms)
        return found

    def pop_due(self, now_ms: int) -> list[Any]:
        """Take out what is due.

        :param now_ms: the time.
        :returns: the items, earliest first.
        """
        due: list[Any] = []
        while self._times_ms and self._times_ms[0] <= now_ms:
            due += self._buckets.pop(heapq.heappop(self._times_ms))
        return due

    def next_ms(self) -> int | None:
        """Give the earliest time.

        :returns: the time in ms, or None when there is nothing.
        """
        return self._times_ms[0] if self._times_ms else None
