"""Concurrency limit of a searcher: slow start when cold, back-off when it sheds."""

from rhubarbhinge.routing._relaypolicy import RelayPolicy

#: Maximum doublings of the pause; the pause cap applies by then.
MAX_DOUBLINGS = 10
#: Number of additive increases that raise the limit from zero to all slots.
RAISE_STEPS = 4


class ConcurrencyLimit:
    """Limit on concurrent requests, between one and all slots, or zero during a pause.

    A cold searcher starts at one and rises to all slots within ``ramp_ms``. A shed response halves
    the limit (multiplicative decrease); each ``shed_raise_ms`` it rises by a quarter of the slots
    (additive increase; Chiu and Jain, Analysis of the Increase and Decrease Algorithms for
    Congestion Avoidance in Computer Networks, 1989). Shed responses at a limit of one pause the
    searcher, twice as long each time.

    :param slots: maximum limit.
    :param policy: relay settings.
    :param now_ms: start of the ramp, in ms.
    """

    def __init__(self, slots: int, policy: RelayPolicy, now_ms: int) -> None:
        self._policy = policy
        self._slots = slots
        self._ceiling = slots
        self._ramp_start_ms = now_ms
        self._warming_since_ms: int | None = None
        self._lowered_ms = now_ms
        self._raise_at_ms = now_ms
        self._pauses = 0
        self.paused_until_ms = now_ms

    def resize(self, slots: int) -> None:
        """Set a new number of slots.

        :param slots: maximum limit.
        """
        backed_off = self._ceiling < self._slots
        self._ceiling = min(self._ceiling, slots) if backed_off else slots
        self._slots = slots

    def restart(self, now_ms: int) -> None:
        """Restart the ramp, for a searcher that has just started or recovered.

        :param now_ms: current time in ms.
        """
        self._ramp_start_ms = now_ms
        self._warming_since_ms = None
        self._ceiling = self._slots
        self._pauses = 0
        self.paused_until_ms = now_ms

    def set_warming(self, warming: bool, now_ms: int) -> None:
        """Record whether the searcher reports that it is warming; the ramp starts when it ends.

        :param warming: whether its reported state is warming.
        :param now_ms: current time in ms.
        """
        if not warming:
            if self._warming_since_ms is not None:
                self._ramp_start_ms = now_ms
            self._warming_since_ms = None
        elif self._warming_since_ms is None:
            self._warming_since_ms = now_ms

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the limit is reduced because the searcher is cold.

        :param now_ms: current time in ms.
        :returns: True during warming and during the ramp.
        """
        return self._is_warming(now_ms) or now_ms - self._ramp_start_ms < self._policy.ramp_ms

    def on_shed(self, retry_after_ms: int, sent_ms: int, now_ms: int) -> None:
        """Lower the limit after a shed response, once for all requests sent before the reduction.

        :param retry_after_ms: retry-after that the searcher requested.
        :param sent_ms: time at which the shed request was sent.
        :param now_ms: current time in ms.
        """
        if sent_ms < self._lowered_ms:
            return
        self._lowered_ms = now_ms
        if self._ceiling > 1:
            self._ceiling //= 2
            self._raise_at_ms = now_ms + self._policy.shed_raise_ms
        else:
            self._pause(retry_after_ms, now_ms)

    def on_success(self) -> None:
        """Record a successful response, which resets the pause to its minimum."""
        self._pauses = 0

    def value(self, now_ms: int) -> int:
        """Return the current limit.

        :param now_ms: current time in ms.
        :returns: number of concurrent requests, 0 while paused.
        """
        if now_ms < self.paused_until_ms:
            return 0
        if self._ceiling < self._slots and now_ms >= self._raise_at_ms:
            step = max(1, self._slots // RAISE_STEPS)
            self._ceiling = min(self._slots, self._ceiling + step)
            self._raise_at_ms = now_ms + self._policy.shed_raise_ms
        if self._is_warming(now_ms):
            return 1
        return min(self._ceiling, self._ramp_limit(now_ms))

    def _pause(self, retry_after_ms: int, now_ms: int) -> None:
        pause_ms = self._policy.least_pause_ms << self._pauses
        self._pauses = min(self._pauses + 1, MAX_DOUBLINGS)
        pause_ms = max(retry_after_ms, min(pause_ms, self._policy.most_pause_ms))
        self.paused_until_ms = now_ms + pause_ms
        self._lowered_ms = self.paused_until_ms
        self._raise_at_ms = self.paused_until_ms + self._policy.shed_raise_ms

    def _is_warming(self, now_ms: int) -> bool:
        since_ms = self._warming_since_ms
        return since_ms is not None and now_ms - since_ms < self._policy.most_warming_ms

    def _ramp_limit(self, now_ms: int) -> int:
        elapsed_ms = now_ms - self._ramp_start_ms
        if elapsed_ms >= self._policy.ramp_ms:
            return self._slots
        return 1 + int(self._slots * elapsed_ms // self._policy.ramp_ms)
