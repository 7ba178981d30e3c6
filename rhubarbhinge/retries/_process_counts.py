"""Number of processes among which a shared limit is divided."""

from collections import deque
from collections.abc import Callable


class ProcessCounts:
    """Largest number of processes that were sending within a window.

    A process that has just left may have spent a share of the smaller size. The shares of those
    that stay therefore grow only once its sends are out of the window.

    :param window_ms: time for which a number counts.
    :param now_ms: returns the current time.
    :param processes: returns the number of processes that may be sending.
    """

    def __init__(self, window_ms: float, now_ms: Callable[[], float], processes: Callable[[], int]):
        self._window_ms = window_ms
        self._now_ms = now_ms
        self._processes = processes
        # Counts, each greater than all later ones, with the time at which it was seen last.
        self._counts: deque[tuple[float, int]] = deque()

    def observe(self) -> int:
        """Record the current number.

        To be called several times per second, as the number is only known while it is current.

        :returns: the largest number within the window; 1 at least.
        """
        now_ms, count = self._now_ms(), max(1, self._processes())
        counts = self._counts
        while counts and now_ms - counts[0][0] > self._window_ms:
            counts.popleft()
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((now_ms, count))
        return counts[0][1]
