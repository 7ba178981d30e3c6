"""Priority queue of one searcher."""

import heapq

from rhubarbhinge.routing._job import Job

#: The heap is compacted once its ended entries exceed its live ones by more than this.
COMPACTION_SLACK = 64


class RequestQueue:
    """Requests ordered by weight (highest first), then deadline, then arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, int, Job]] = []
        self._count_by_weight: dict[int, int] = {}
        self._pushed = 0
        self.count = 0

    def push(self, job: Job) -> None:
        """Add a request.

        :param job: the request.
        """
        self._pushed += 1
        heapq.heappush(self._heap, (-job.weight, job.due_ms, self._pushed, job))
        self.count += 1
        counts = self._count_by_weight
        counts[job.weight] = counts.get(job.weight, 0) + 1

    def first(self) -> Job:
        """Return the first request without removing it; there must be one.

        :returns: the request, still in the queue.
        """
        while self._heap[0][3].state != Job.QUEUED:
            heapq.heappop(self._heap)
        return self._heap[0][3]

    def pop(self) -> Job:
        """Remove and return the first request; there must be one.

        :returns: the request.
        """
        job = self.first()
        heapq.heappop(self._heap)
        self._uncount(job)
        return job

    def discard(self, job: Job) -> None:
        """Remove a request that ends in the queue; its state must still be queued.

        :param job: the request; it is marked as done.
        """
        job.state = Job.DONE
        self._uncount(job)
        if len(self._heap) > 2 * self.count + COMPACTION_SLACK:
            self._heap = [entry for entry in self._heap if entry[3].state == Job.QUEUED]
            heapq.heapify(self._heap)

    def in_order(self) -> list[Job]:
        """Return all queued requests.

        :returns: requests in sending order.
        """
        return [entry[3] for entry in sorted(self._heap) if entry[3].state == Job.QUEUED]

    def ahead(self, weight: int) -> int:
        """Count the requests ahead of a new one.

        :param weight: weight of the new request.
        :returns: number of queued requests of at least that weight.
        """
        counts = self._count_by_weight
        if len(counts) == 1 and weight in counts:
            return self.count
        return sum(count for other, count in counts.items() if other >= weight)

    def _uncount(self, job: Job) -> None:
        self.count -= 1
        counts = self._count_by_weight
        counts[job.weight] -= 1
        if not counts[job.weight]:
            del counts[job.weight]
