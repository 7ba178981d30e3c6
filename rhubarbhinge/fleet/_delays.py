"""Recent latencies of one kind of request."""

from collections import deque

WINDOW_SIZE = 256
"""Number of latencies kept."""
REFRESH_INTERVAL = 16
"""Quantiles are recomputed after this many new latencies, as this sorts the window."""
MIN_SAMPLES = 24
"""With fewer latencies than this, estimates of the tail are too unreliable."""


class Delays:
    """Recent latencies of one kind of request, and their quantiles.

    :param typical_ms: latency assumed until enough samples are available.
    """

    def __init__(self, typical_ms: float):
        self._prior_ms = typical_ms
        self._window: deque[float] = deque(maxlen=WINDOW_SIZE)
        self._sorted: list[float] = []
        self._new_samples = 0

    def add(self, delay_ms: float) -> None:
        """Add a sample.

        :param delay_ms: time from the request to the complete reply.
        """
        self._window.append(delay_ms)
        self._new_samples += 1

    @property
    def is_measured(self) -> bool:
        """Whether there are enough samples for :meth:`quantile` to be measured."""
        return len(self._window) >= MIN_SAMPLES

    def quantile(self, fraction: float) -> float:
        """Estimate a quantile.

        :param fraction: quantile, from 0 to 1.
        :returns: latency in ms; a multiple of the assumed latency until enough samples are
            available.
        """
        if len(self._window) < MIN_SAMPLES:
            return self._prior_ms * (1.0 + 2.0 * max(0.0, fraction - 0.5))
        if self._new_samples >= REFRESH_INTERVAL or not self._sorted:
            self._sorted = sorted(self._window)
            self._new_samples = 0
        return self._sorted[min(len(self._sorted) - 1, int(fraction * len(self._sorted)))]
