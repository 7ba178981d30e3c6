"""The token budget shared by hedges and retries."""


class ExtraLoadBudget:
    """Limits extra sub-queries to a fraction of the base ones.

    Every base sub-query credits a fraction of a token; a hedge or a retry spends a whole one. The
    number of tokens is bounded, so that a quiet hour does not pay for a burst. As low traffic
    credits next to nothing, one extra sub-query per interval is allowed without a token.

    :param max_tokens: maximum number of accumulated tokens.
    :param floor_interval_ms: minimum time between two sub-queries allowed without a token.
    """

    def __init__(self, max_tokens: float, floor_interval_ms: float) -> None:
        self._max_tokens = max_tokens
        self._floor_interval_ms = floor_interval_ms
        self._last_floor_ms: float | None = None
        self._tokens = 0.0

    def credit(self, base: int, extra_load: float) -> None:
        """Credit tokens for base sub-queries.

        :param base: number of base sub-queries sent.
        :param extra_load: tokens per base sub-query of the class, such as 0.05.
        """
        self._tokens = min(self._max_tokens, self._tokens + base * extra_load)

    def try_spend(self, now_ms: float) -> bool:
        """Spend a token on one extra sub-query, if possible.

        :param now_ms: current time in ms.
        :returns: whether the sub-query may be sent.
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
        """Refund the token of an extra sub-query that was not sent or not run."""
        self._tokens = min(self._max_tokens, self._tokens + 1.0)
