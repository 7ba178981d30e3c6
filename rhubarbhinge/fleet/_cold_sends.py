"""Counts the requests sent recently to a cold searcher."""

from collections import deque

WINDOW_MS = 1_050.0
"""Window over which requests to a cold searcher are limited: one second, plus the clock rate
difference between two hosts over it."""


class ColdSends:
    """Counts the requests of this process to one searcher over a sliding window of one second.

    A request counts from the moment the searcher is chosen until one second after the request was
    written to a connection: until it is written, its time of arrival is unknown.

    :param now_ms: current time.
    :param known: whether the requests of the preceding second are already accounted for; otherwise
        no request is allowed during the first window.
    """

    __slots__ = ("_unsent", "_sent_ms", "_blocked_until_ms")

    def __init__(self, now_ms: float, known: bool):
        self._unsent: set[int] = set()
        self._sent_ms: deque[float] = deque()
        self._blocked_until_ms = now_ms if known else now_ms + WINDOW_MS

    def has_room(self, limit: int, now_ms: float) -> bool:
        """Check whether one more request may be sent.

        :param limit: maximum number of requests per second.
        :param now_ms: current time.
        :returns: True if the count is below the maximum.
        """
        if now_ms < self._blocked_until_ms:
            return False
        self._expire(now_ms)
        return len(self._unsent) + len(self._sent_ms) < limit

    def on_chosen(self, attempt: int) -> None:
        """Record a request for which the searcher was chosen.

        :param attempt: identifies the request.
        """
        self._unsent.add(attempt)

    def on_sent(self, attempt: int, now_ms: float) -> None:
        """Record that a request was written to a connection.

        :param attempt: identifies the request.
        :param now_ms: current time.
        """
        self._unsent.discard(attempt)
        self._expire(now_ms)
        self._sent_ms.append(now_ms)

    def on_withdrawn(self, attempt: int) -> None:
        """Record that a request will not be written to a connection after all.

        :param attempt: identifies the request.
        """
        self._unsent.discard(attempt)

    def _expire(self, now_ms: float) -> None:
        while self._sent_ms and now_ms - self._sent_ms[0] > WINDOW_MS:
            self._sent_ms.popleft()
