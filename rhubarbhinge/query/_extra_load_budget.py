"""The budget that hedges and retries share."""


class ExtraLoadBudget:
    """Lets extra sub-queries through as a share of the base ones.

    Every base sub-query earns a share of a token; a hedge or a retry spends a whole one. Tokens
    kept are bounded, so that a quiet hour does not pay for a burst. With little traffic a share
    is next to nothing; so one extra sub-query is let through now and then all the same.

    :param max_tokens: the bound.
    :param floor_interval_ms: least time between two that are let through without a token.
    """

    def __init__(self, max_tokens: float, floor_interval_ms: float) -> None:
        self._max_tokens = max_tokens
        self._floor_interval_ms = floor_interval_ms
        self._last_floor_ms: float | None = None
        self._tokens = 0.0

    def credit(self, base: int, extra_load: float) -> None:
        """Count base sub-queries.

        :param base: how many were sent.
        :param extra_load: the class's share, such as 0.05.
        """
        self._tokens = min(self._max_tokens, self._tokens + base * extra_load)

    def try_spend(self, now_ms: float) -> bool:
        """Ask for one extra sub-query.

        :param now_ms: the time.
        :returns: whether it may be sent.
        """
        if self._tokens < 1.0:
            return self._try_spend_at_floor(now_ms)
        self._tokens -= 1.0
        return True

    def _try_spend_at_floor(self, now_ms: float) -> bool:
        if self._last_floor_ms is None:
            self._last_floor_ms = now_ms
        if now_ms < self._last_floor_ms + self._floor_interval_ms:
            return False
        self._last_floor_ms = now_ms
        return True

    def refund(self) -> None:
        """Return a token, because the extra sub-query was refused without being run."""
        self._tokens = min(self._max_tokens, self._tokens + 1.0)
