"""Pauses before the platform is read again."""

import random

LEAST_BACKOFF_MS = 100.0
"""First pause after a failed read; short, as a lost answer is the most frequent cause."""
MOST_BACKOFF_MS = 1_000.0
"""Longest pause; the platform promises to have lapsed entries back two seconds after its return."""
OVERLOAD_BACKOFF_MS = 500.0
"""Least pause after the platform asked for fewer calls."""


class ReadPauses:
    """Pauses before the platform is read again, longer each time.

    :param rng: spreads them.
    :ivar failures: reads that failed since the last answer.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._losses = 0
        self.failures = 0

    def after_failure(self, overloaded: bool) -> float:
        """Give the pause after a failed read.

        :param overloaded: whether the platform asked for fewer calls.
        :returns: the pause in ms.
        """
        self.failures += 1
        return self._pause_ms(self.failures, OVERLOAD_BACKOFF_MS if overloaded else 0.0)

    def after_loss(self) -> float:
        """Give the pause before all is listed again, as changes are not told.

        :returns: the pause in ms; 0 the first time since changes were told.
        """
        self._losses += 1
        return 0.0 if self._losses == 1 else self._pause_ms(self._losses - 1, 0.0)

    def on_answered(self) -> None:
        """Note that a read was answered."""
        self.failures = 0

    def on_changes_told(self) -> None:
        """Note that changes were told from what is known on."""
        self._losses = 0

    def _pause_ms(self, times: int, least_ms: float) -> float:
        pause_ms = min(MOST_BACKOFF_MS, LEAST_BACKOFF_MS * 2 ** min(times - 1, 10))
        return max(pause_ms, least_ms) * self._rng.uniform(0.7, 1.3)
