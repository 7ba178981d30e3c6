"""Backoff between reads of the platform."""

import random

MIN_BACKOFF_MS = 100.0
"""First delay after a failed read; short, as a lost response is the most frequent cause."""
MAX_BACKOFF_MS = 1_000.0
"""Longest delay; the platform promises that lapsed store entries are back two seconds after its
return."""
OVERLOAD_BACKOFF_MS = 500.0
"""Shortest delay after the platform asked for fewer calls."""


class ReadBackoff:
    """Exponential backoff between reads of the platform.

    :param rng: adds jitter.
    :ivar failures: failed reads since the last successful one.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._history_losses = 0
        self.failures = 0

    def after_failure(self, overloaded: bool) -> float:
        """Return the delay after a failed read.

        :param overloaded: whether the platform asked for fewer calls.
        :returns: the delay in ms.
        """
        self.failures += 1
        return self._delay_ms(self.failures, OVERLOAD_BACKOFF_MS if overloaded else 0.0)

    def after_history_loss(self) -> float:
        """Return the delay before everything is listed again because changes are unavailable.

        :returns: the delay in ms; 0 for the first time since changes were received.
        """
        self._history_losses += 1
        return 0.0 if self._history_losses == 1 else self._delay_ms(self._history_losses - 1, 0.0)

    def on_read_success(self) -> None:
        """Reset the failures after a successful read."""
        self.failures = 0

    def on_changes_received(self) -> None:
        """Reset the history losses once changes since the current revision were received."""
        self._history_losses = 0

    def _delay_ms(self, attempts: int, min_ms: float) -> float:
        delay_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(attempts - 1, 10))
        return max(delay_ms, min_ms) * self._rng.uniform(0.7, 1.3)
