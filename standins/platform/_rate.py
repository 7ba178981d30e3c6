"""The platform's rate of calls."""

from collections import deque

WINDOW_MS = 1000.0


class Rate:
    """Counts the calls taken within the last second."""

    def __init__(self) -> None:
        self.most = 0
        self.refused = 0
        self._taken_ms: deque[float] = deque()

    def take(self, calls_per_s: float, now_ms: float) -> bool:
        """Count a call.

        :param calls_per_s: The most calls in a second.
        :param now_ms: The time.
        :returns: Whether the call may be answered.
        """
        taken_ms = self._taken_ms
        while taken_ms and taken_ms[0] <= now_ms - WINDOW_MS:
            taken_ms.popleft()
        if len(taken_ms) >= calls_per_s:
            self.refused += 1
            return False
        taken_ms.append(now_ms)
        self.most = max(self.most, len(taken_ms))
        return True
