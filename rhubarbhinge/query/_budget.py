"""The budget that hedges and retries share."""


class ExtraLoadBudget:
    """Lets extra sub-queries through as a share of the base ones.

    Every base sub-query earns a share of a token; a hedge or a retry spends a whole one. Tokens
    kept are bounded, so that a quiet hour does not pay for a burst. With little traffic a share
    is next to nothing; so one extra sub-query is let through now and then all the same.

    :param most_tokens: the bound.
    :param floor_period_ms: least time between two that are let through without a token.
    """

    def __init__(self, most_tokens: float, floor_period_ms: float) -> None:
        self._most_tokens = most_tokens
        self._floor_period_ms = floor_period_ms
        self._floor_ms: float | None = None
        self._tokens = 0.0

    def earn(self, base: int, extra_load: float) -> None:
        """Count base sub-queries.

        :param base: how many were sent.
        :param extra_load: the class's share, such as 0.05.
        """
        self._tokens = min(self._most_tokens, self._tokens + base * extra_load)

    def spend(self, now_ms: float) -> bool:
        """Ask for one extra sub-query.

        :param now_ms: the time.
        :returns: whether it may be sent.
        """
        if self._tokens < 1.0:
            return self._pass_floor(now_ms)
        self._tokens -= 1.0
        return True

    def _pass_floor(self, now_ms: float) -> bool:
        if self._floor_ms is None:
            self._floor_ms = now_ms
        if now_ms < self._floor_ms + self._floor_period_ms:
            return False
        self._floor_ms = now_ms
        return True

    def give_back(self) -> None:
        """Return a token, because the extra sub-query was refused without being run."""
        self._tokens = min(self._most_tokens, self._tokens + 1.0)
