"""Times at which refused callers are told to return."""

import random

MAX_AHEAD_MS = 30_000.0
"""Return times are assigned up to this far ahead; later ones would be guesses, and callers would
rather give up."""
MAX_SPACING_MS = 3_000.0
"""Maximum distance of two return times: with a service that hardly sends anything, several callers
still get different times."""
JITTER = (0.8, 1.2)
"""Range of the random factor on the distance between two return times."""


class ReturnTimes:
    """Assigns each refused caller of a service a return time of its own.

    :param rng: source of the jitter.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_ms = float("-inf")

    def assign(
        self, now_ms: float, drained_after_ms: float, pace_per_ms: float, min_ms: float
    ) -> float:
        """Assign the next return time.

        Once the times reach :data:`MAX_AHEAD_MS`, they are assigned from the first one again.

        :param now_ms: current time.
        :param drained_after_ms: time until the queue will have drained.
        :param pace_per_ms: rate at which requests are sent; 0 if unknown.
        :param min_ms: minimum delay, greater than 0.
        :returns: time in ms after which the caller may retry.
        """
        spacing_ms = 1.0 / pace_per_ms if pace_per_ms > 0.0 else min_ms
        spacing_ms = min(spacing_ms, MAX_SPACING_MS)
        # Half of the range is kept for the distances between callers.
        first_ms = now_ms + max(min_ms, min(MAX_AHEAD_MS / 2, drained_after_ms))
        time_ms = max(first_ms, self._next_ms)
        if time_ms > now_ms + MAX_AHEAD_MS - spacing_ms:
            time_ms = first_ms
        self._next_ms = time_ms + spacing_ms
        low, high = JITTER
        return time_ms - now_ms + spacing_ms * (self._rng.uniform(low, high) - low)
