"""The open queries of an entry, and when each of them is looked at next."""

import heapq

from rhubarbhinge.query._query import NEVER_MS, Query


class OpenQueries:
    """Open queries by number and by request, with the times at which they are due.

    :ivar queries: open queries by the entry's sequence number.
    :ivar call_id_by_request: sequence numbers by the caller's request.
    :ivar due: a heap of times in ms and sequence numbers; outdated rows stay until they are due.
    """

    __slots__ = ("queries", "call_id_by_request", "due")

    def __init__(self) -> None:
        self.queries: dict[int, Query] = {}
        self.call_id_by_request: dict[int, int] = {}
        self.due: list[tuple[float, int]] = []

    def add(self, query: Query) -> None:
        """Put a query in.

        :param query: the query.
        """
        self.queries[query.call_id] = query
        self.call_id_by_request[query.request.request_id] = query.call_id

    def remove(self, query: Query) -> None:
        """Take an open query out.

        :param query: the query.
        """
        del self.queries[query.call_id]
        del self.call_id_by_request[query.request.request_id]

    def is_open(self, query: Query) -> bool:
        """Say whether a query has not ended.

        :param query: the query.
        :returns: True while it is open.
        """
        return query.call_id in self.queries

    def of_request(self, request_id: int) -> Query | None:
        """Look a query up by its request.

        :param request_id: the caller's request.
        :returns: the query, None when there is none open.
        """
        call_id = self.call_id_by_request.get(request_id)
        return None if call_id is None else self.queries[call_id]

    def schedule_check(self, query: Query, at_ms: float) -> None:
        """Have a query looked at, unless it is looked at sooner anyway.

        :param query: the query.
        :param at_ms: when.
        """
        if at_ms < query.next_check_ms:
            query.next_check_ms = at_ms
            heapq.heappush(self.due, (at_ms, query.call_id))

    def next_due_ms(self) -> float | None:
        """Give the time at which the next query is due.

        :returns: milliseconds on the caller's clock, None when none is.
        """
        return self.due[0][0] if self.due else None

    def pop_due(self, now_ms: float) -> Query | None:
        """Take the next query that is due; it is not planned any more.

        :param now_ms: the time.
        :returns: the query, None when no other is due.
        """
        while self.due and self.due[0][0] <= now_ms:
            at_ms, call_id = heapq.heappop(self.due)
            query = self.queries.get(call_id)
            if query is not None and query.next_check_ms == at_ms:
                query.next_check_ms = NEVER_MS
                return query
        return None
