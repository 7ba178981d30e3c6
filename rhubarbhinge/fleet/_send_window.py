"""Send window of this process for one searcher."""

MIN_WINDOW = 1.0
"""Smallest window, in requests; one request at a time finds out whether there is capacity again."""
DECREASE_FACTOR = 0.5
"""Factor applied to the window by a refusal, as in the congestion control of TCP (RFC 5681)."""
RESTORE_MS = 3_000.0
"""Time without a refusal after which the window is restored: the half-life of the refusal rate."""


class SendWindow:
    """Maximum number of requests in flight from this process to one searcher.

    Additive increase, multiplicative decrease: a refusal halves the window, and each reply adds
    1 / window, i.e. about one request per round of replies. The processes that share a searcher
    thus approach equal parts of its capacity without communicating.

    :param limit: present limit of requests in flight, at which the window starts; at least 1.
    :ivar logged_ms: time at which a reduction was last logged; minus infinity if none was.
    """

    __slots__ = ("logged_ms", "_size", "_limit", "_refused_ms", "_reduced_ms")

    def __init__(self, limit: int):
        self.logged_ms = float("-inf")
        self._size = float(limit)
        self._limit = limit
        self._refused_ms = float("-inf")
        self._reduced_ms = float("-inf")

    @property
    def restored_at_ms(self) -> float:
        """Time at which the window is restored unless there is another refusal."""
        return self._refused_ms + RESTORE_MS

    def is_restored(self, now_ms: float) -> bool:
        """Check whether the last refusal is so old that the window no longer applies.

        :param now_ms: current time.
        :returns: True if the window is restored.
        """
        return now_ms >= self.restored_at_ms

    def is_reduced(self, now_ms: float) -> bool:
        """Check whether the window is below the last known limit.

        :param now_ms: current time.
        :returns: True if fewer requests may be in flight than the limit allows.
        """
        return self.size(self._limit, now_ms) < self._limit

    def size(self, limit: int, now_ms: float) -> int:
        """Return the window.

        :param limit: present limit of requests in flight.
        :param now_ms: current time.
        :returns: maximum number of requests in flight, from 1 to the limit.
        """
        if self.is_restored(now_ms):
            return max(1, limit)
        return int(max(MIN_WINDOW, min(self._size, limit)))

    def on_refused(self, limit: int, typical_ms: float, now_ms: float) -> bool:
        """Record a refusal for lack of capacity.

        Requests that were in flight together are refused together and say the same, so the window
        is halved at most once per typical latency.

        :param limit: present limit of requests in flight.
        :param typical_ms: typical latency of such requests.
        :param now_ms: current time.
        :returns: True if the window was reduced.
        """
        before = float(limit) if self.is_restored(now_ms) else min(self._size, float(limit))
        self._limit = limit
        self._refused_ms = now_ms
        self._size = before
        if now_ms - self._reduced_ms < typical_ms:
            return False
        self._reduced_ms = now_ms
        self._size = max(MIN_WINDOW, before * DECREASE_FACTOR)
        return self._size < before

    def on_reply(self, limit: int, now_ms: float) -> None:
        """Record a reply to a request that the searcher accepted.

        :param limit: present limit of requests in flight.
        :param now_ms: current time.
        """
        self._limit = limit
        if not self.is_restored(now_ms):
            self._size = max(MIN_WINDOW, min(float(limit), self._size + 1.0 / self._size))
