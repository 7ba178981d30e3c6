"""Timeout for answers of the platform, which adapts to how slow it is."""

MAX_FACTOR = 4.0
"""Largest timeout, as a multiple of the initial one."""
LATENCY_FACTOR = 2.0
"""The timeout, as a multiple of the latest latency, if that exceeds the initial one."""


class AnswerTimeout:
    """Timeout for answers of the platform, which adapts to how slow it is.

    A platform that is slower than the initial timeout would otherwise never be read.

    :param initial_ms: the initial timeout, which is also the shortest.
    :ivar timeout_ms: the current timeout.
    """

    def __init__(self, initial_ms: float):
        self._initial_ms = initial_ms
        self.timeout_ms = initial_ms

    def on_answer(self, latency_ms: float) -> None:
        """Adapt the timeout to an answer.

        :param latency_ms: how long the platform took beyond the time that it was to wait.
        """
        self._set(LATENCY_FACTOR * latency_ms)

    def on_timeout(self) -> None:
        """Adapt the timeout to an answer that did not arrive in time."""
        self._set(2.0 * self.timeout_ms)

    def _set(self, timeout_ms: float) -> None:
        longest_ms = MAX_FACTOR * self._initial_ms
        self.timeout_ms = min(longest_ms, max(self._initial_ms, timeout_ms))
