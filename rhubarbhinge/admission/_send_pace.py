"""Rate at which waiting requests are sent."""

from collections import deque

WINDOW_MS = 2_000.0
"""Age up to which a send counts: several executions of forwarded requests, and longer than the
pauses of searchers."""
MAX_SENDS = 256
"""Maximum number of sends kept."""
MIN_SENDS = 8
"""With fewer sends than this, the rate is unknown."""


class SendPace:
    """Rate at which waiting requests are sent to a searcher.

    Requests that did not have to wait are not counted: they follow the demand rather than the
    capacity.
    """

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: deque[float] = deque(maxlen=MAX_SENDS)

    def on_sent(self, now_ms: float) -> None:
        """Record that a waiting request was sent.

        :param now_ms: current time.
        """
        self._sent_ms.append(now_ms)

    def per_ms(self, now_ms: float) -> float:
        """Return the rate.

        :param now_ms: current time.
        :returns: requests per ms; 0 if unknown.
        """
        sent_ms = self._sent_ms
        while sent_ms and sent_ms[0] < now_ms - WINDOW_MS:
            sent_ms.popleft()
        if len(sent_ms) < MIN_SENDS:
            return 0.0
        # Sends of one moment would give an unbounded rate.
        return (len(sent_ms) - 1) / max(1.0, sent_ms[-1] - sent_ms[0])
