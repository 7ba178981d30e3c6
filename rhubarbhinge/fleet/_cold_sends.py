"""What was sent lately to a searcher that is cold."""

from collections import deque

WINDOW_MS = 1_050.0
"""The second over which a cold searcher's requests are limited, and what the clocks of two hosts
may differ by in it."""


class ColdSends:
    """Requests of this process to one searcher in a sliding second.

    A request counts from the choice of the searcher on, and for a second after it was handed to a
    connection: until then it is not known when it will arrive.

    :param now_ms: the time.
    :param known: whether all requests of the second before are counted from the start.
    """

    __slots__ = ("_unsent", "_sent_ms", "_blocked_until_ms")

    def __init__(self, now_ms: float, known: bool):
        self._unsent: set[int] = set()
        self._sent_ms: deque[float] = deque()
        self._blocked_until_ms = now_ms if known else now_ms + WINDOW_MS

    def has_room(self, most: int, now_ms: float) -> bool:
        """Tell whether one more request may be sent.

        :param most: most requests in a second.
        :param now_ms: the time.
        :returns: whether there are fewer.
        """
        if now_ms < self._blocked_until_ms:
            return False
        self._forget(now_ms)
        return len(self._unsent) + len(self._sent_ms) < most

    def on_chosen(self, attempt: int) -> None:
        """Note a request for which the searcher was chosen.

        :param attempt: identifies the request.
        """
        self._unsent.add(attempt)

    def on_sent(self, attempt: int, now_ms: float) -> None:
        """Note that a request was handed to a connection.

        :param attempt: identifies the request.
        :param now_ms: the time.
        """
        self._unsent.discard(attempt)
        self._forget(now_ms)
        self._sent_ms.append(now_ms)

    def on_withdrawn(self, attempt: int) -> None:
        """Note that a request was not handed to a connection after all.

        :param attempt: identifies the request.
        """
        self._unsent.discard(attempt)

    def _forget(self, now_ms: float) -> None:
        while self._sent_ms and now_ms - self._sent_ms[0] > WINDOW_MS:
            self._sent_ms.popleft()
