"""Recent delays of one kind of request."""

from collections import deque

WINDOW = 256
"""Delays kept."""
REFRESH = 16
"""Quantiles are worked out anew after so many delays, as the window is sorted for it."""
LEAST_SAMPLES = 24
"""Fewer delays than these say too little about a tail."""


class Delays:
    """Recent delays of one kind of request, and their quantiles.

    :param typical_ms: the delay assumed before enough were seen.
    """

    def __init__(self, typical_ms: float):
        self._prior_ms = typical_ms
        self._window: deque[float] = deque(maxlen=WINDOW)
        self._sorted: list[float] = []
        self._fresh = 0

    def add(self, delay_ms: float) -> None:
        """Take one delay.

        :param delay_ms: time from the request to the whole reply.
        """
        self._window.append(delay_ms)
        self._fresh += 1

    def quantile(self, fraction: float) -> float:
        """Estimate a quantile.

        :param fraction: 0 to 1.
        :returns: the delay in ms, a multiple of the assumed one before enough were seen.
        """
        if len(self._window) < LEAST_SAMPLES:
            return self._prior_ms * (1.0 + 2.0 * max(0.0, fraction - 0.5))
        if self._fresh >= REFRESH or not self._sorted:
            self._sorted = sorted(self._window)
            self._fresh = 0
        return self._sorted[min(len(self._sorted) - 1, int(fraction * len(self._sorted)))]
