"""Requests by the time at which something is due for them."""

from heapq import heappop, heappush
from itertools import count

from standins.searcher._job import Job, Stage


class Agenda:
    """A queue by time; an entry lapses when its request has left the stage it was made in."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Job, Stage]] = []
        self._order = count()

    def add(self, job: Job, due_ms: float) -> None:
        """Make an entry for a request in its present stage.

        :param job: The request.
        :param due_ms: The time.
        """
        heappush(self._due, (due_ms, next(self._order), job, job.stage))

    def pop(self, now_ms: float) -> Job | None:
        """Take the earliest entry that is due.

        :param now_ms: The time.
        :returns: Its request, or None.
        """
        due_ms = self.next_ms()
        if due_ms is None or due_ms > now_ms:
            return None
        return heappop(self._due)[2]

    def next_ms(self) -> float | None:
        """Say when the earliest entry is due.

        :returns: The time, or None without entries.
        """
        due = self._due
        while due and due[0][2].stage is not due[0][3]:
            heappop(due)
        return due[0][0] if due else None
