"""How many requests a searcher gets at once: ramp when cold, back-off when it sheds."""

from rhubarbhinge.routing._relaypolicy import RelayPolicy


class ConcurrencyLimit:
    """A limit between one and all slots.

    A cold searcher starts at one and rises to all slots within ``ramp_ms``. A shed answer halves
    the limit (multiplicative decrease); it rises by one slot each ``shed_raise_ms`` (additive
    increase). Shed answers at a limit of one pause the searcher, twice as long each time.

    :param slots: the most.
    :param policy: settings.
    :param now_ms: when the ramp starts.
    """

    def __init__(self, slots: int, policy: RelayPolicy, now_ms: int) -> None:
        self._policy = policy
        self._slots = slots
        self._ramp_start_ms = now_ms
        self._warming = False
        self._ceiling = slots
        self._raise_at_ms = now_ms
        self._pauses = 0
        self.paused_until_ms = 0

    def resize(self, slots: int) -> None:
        """Take a new number of slots.

        :param slots: the most.
        """
        if self._ceiling >= self._slots:
            self._ceiling = slots
        self._ceiling = min(self._ceiling, slots)
        self._slots = slots

    def restart(self, now_ms: int) -> None:
        """Start the ramp anew, for a searcher that has just started.

        :param now_ms: the time.
        """
        self._ramp_start_ms = now_ms
        self._ceiling = self._slots
        self._pauses = 0
        self.paused_until_ms = 0

    def set_warming(self, warming: bool, now_ms: int) -> None:
        """Note whether the searcher says that it is warming; the ramp starts when it ends.

        :param warming: what it says.
        :param now_ms: the time.
        """
        if self._warming and not warming:
            self._ramp_start_ms = now_ms
        self._warming = warming

    def is_cold(self, now_ms: int) -> bool:
        """Tell whether the ramp still runs.

        :param now_ms: the time.
        :returns: True while the searcher gets fewer requests for being cold.
        """
        return self._warming or now_ms - self._ramp_start_ms < self._policy.ramp_ms

    def on_shed(self, retry_after_ms: int, now_ms: int) -> None:
        """Lower the limit after a shed answer, at most once each ``shed_hold_ms``.

        :param retry_after_ms: what the searcher asked for.
        :param now_ms: the time.
        """
        hold_ms = self._policy.shed_hold_ms
        if now_ms < self._raise_at_ms - self._policy.shed_raise_ms:
            return
        self._raise_at_ms = now_ms + hold_ms + self._policy.shed_raise_ms
        if self._ceiling > 1:
            self._ceiling //= 2
            return
        pause_ms = max(retry_after_ms, hold_ms) << min(self._pauses, 10)
        self._pauses += 1
        self.paused_until_ms = now_ms + min(pause_ms, self._policy.most_pause_ms)
        self._raise_at_ms = self.paused_until_ms + self._policy.shed_raise_ms

    def on_success(self) -> None:
        """Note an answer: the next pause is a short one again."""
        self._pauses = 0

    def value(self, now_ms: int) -> int:
        """Give the limit.

        :param now_ms: the time.
        :returns: requests at once, 0 while paused.
        """
        if now_ms < self.paused_until_ms:
            return 0
        if self._ceiling < self._slots and now_ms >= self._raise_at_ms:
            self._ceiling += 1
            self._raise_at_ms = now_ms + self._policy.shed_raise_ms
        if not self.is_cold(now_ms):
            return self._ceiling
        return min(self._ceiling, self._ramped(now_ms))

    def _ramped(self, now_ms: int) -> int:
        if self._warming:
            return 1
        elapsed_ms = now_ms - self._ramp_start_ms
        return max(1, self._slots * elapsed_ms // self._policy.ramp_ms)
