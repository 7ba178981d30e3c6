"""The open queries of an entry, and when each of them is looked at next."""

import heapq

from rhubarbhinge.query._call import NEVER_MS, Call


class OpenQueries:
    """Open queries by number and by request, with the times at which they are due.

    :ivar calls: open queries by the entry's sequence number.
    :ivar call_by_request: sequence numbers by the caller's request.
    :ivar due: a heap of times in ms and sequence numbers; outdated rows stay until they are due.
    """

    __slots__ = ("calls", "call_by_request", "due")

    def __init__(self) -> None:
        self.calls: dict[int, Call] = {}
        self.call_by_request: dict[int, int] = {}
        self.due: list[tuple[float, int]] = []

    def add(self, call: Call) -> None:
        """Put a query in.

        :param call: the query.
        """
        self.calls[call.call_id] = call
        self.call_by_request[call.request.request_id] = call.call_id

    def remove(self, call: Call) -> None:
        """Take an open query out.

        :param call: the query.
        """
        del self.calls[call.call_id]
        del self.call_by_request[call.request.request_id]

    def is_open(self, call: Call) -> bool:
        """Say whether a query has not ended.

        :param call: the query.
        :returns: True while it is open.
        """
        return call.call_id in self.calls

    def of_request(self, request_id: int) -> Call | None:
        """Look a query up by its request.

        :param request_id: the caller's request.
        :returns: the query, None when there is none open.
        """
        call_id = self.call_by_request.get(request_id)
        return None if call_id is None else self.calls[call_id]

    def wake(self, call: Call, at_ms: float) -> None:
        """Have a query looked at, unless it is looked at sooner anyway.

        :param call: the query.
        :param at_ms: when.
        """
        if at_ms < call.wake_ms:
            call.wake_ms = at_ms
            heapq.heappush(self.due, (at_ms, call.call_id))

    def next_due_ms(self) -> float | None:
        """Give the time at which the next query is due.

        :returns: milliseconds on the caller's clock, None when none is.
        """
        return self.due[0][0] if self.due else None

    def pop_due(self, now_ms: float) -> Call | None:
        """Take the next query that is due; it is not planned any more.

        :param now_ms: the time.
        :returns: the query, None when no other is due.
        """
        while self.due and self.due[0][0] <= now_ms:
            at_ms, call_id = heapq.heappop(self.due)
            call = self.calls.get(call_id)
            if call is not None and call.wake_ms == at_ms:
                call.wake_ms = NEVER_MS
                return call
        return None
