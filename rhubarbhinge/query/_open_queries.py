"""The open queries of an entry and the schedule of their checks."""

import heapq

from rhubarbhinge.query._query import NEVER_MS, Query


class OpenQueries:
    """Open queries by sequence number and by request, with the schedule of their checks.

    :ivar queries: open queries by the entry's sequence number.
    :ivar call_id_by_request: sequence numbers by the caller's request.
    :ivar due: a heap of times in ms and sequence numbers; superseded rows stay until they are due.
    """

    __slots__ = ("queries", "call_id_by_request", "due")

    def __init__(self) -> None:
        self.queries: dict[int, Query] = {}
        self.call_id_by_request: dict[int, int] = {}
        self.due: list[tuple[float, int]] = []

    def add(self, query: Query) -> None:
        """Add a query.

        :param query: the query.
        """
        self.queries[query.call_id] = query
        self.call_id_by_request[query.request.request_id] = query.call_id

    def remove(self, query: Query) -> None:
        """Remove an open query.

        :param query: the query.
        """
        del self.queries[query.call_id]
        del self.call_id_by_request[query.request.request_id]

    def is_open(self, query: Query) -> bool:
        """Return whether a query is open.

        :param query: the query.
        :returns: False once it has been answered or cancelled.
        """
        return query.call_id in self.queries

    def of_request(self, request_id: int) -> Query | None:
        """Return the open query of a request.

        :param request_id: the caller's request.
        :returns: the query, or None when none is open.
        """
        call_id = self.call_id_by_request.get(request_id)
        return None if call_id is None else self.queries[call_id]

    def schedule_check(self, query: Query, at_ms: float) -> None:
        """Schedule a check of a query, unless an earlier one is scheduled.

        :param query: the query.
        :param at_ms: time of the check.
        """
        if at_ms < query.next_check_ms:
            query.next_check_ms = at_ms
            heapq.heappush(self.due, (at_ms, query.call_id))

    def next_due_ms(self) -> float | None:
        """Return the time of the next scheduled check.

        :returns: milliseconds on the caller's clock, or None when nothing is scheduled.
        """
        return self.due[0][0] if self.due else None

    def pop_due(self, now_ms: float) -> Query | None:
        """Remove the next check that is due from the schedule.

        :param now_ms: current time in ms.
        :returns: the query to check, or None when no other is due.
        """
        while self.due and self.due[0][0] <= now_ms:
            at_ms, call_id = heapq.heappop(self.due)
            query = self.queries.get(call_id)
            if query is not None and query.next_check_ms == at_ms:
                query.next_check_ms = NEVER_MS
                return query
        return None
