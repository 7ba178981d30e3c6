"""The budget that hedges and retries share."""


class ExtraLoadBudget:
    """Lets extra sub-queries through as a share of the base ones.

    Every base sub-query earns a share of a token; a hedge or a retry spends a whole one. Tokens
    kept are bounded, so that a quiet hour does not pay for a burst.

    :param most_tokens: the bound.
    """

    def __init__(self, most_tokens: float) -> None:
        self._most_tokens = most_tokens
        self._tokens = 0.0

    def earn(self, base: int, extra_load: float) -> None:
        """Count base sub-queries.

        :param base: how many were sent.
        :param extra_load: the class's share, such as 0.05.
        """
        self._tokens = min(self._most_tokens, self._tokens + base * extra_load)

    def spend(self) -> bool:
        """Ask for one extra sub-query.

        :returns: whether it may be sent.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return a token, because the extra sub-query was refused without being run."""
        self._tokens = min(self._most_tokens, self._tokens + 1.0)
