"""Token bucket on the caller's clock."""


class TokenBucket:
    """Allowance that refills at a steady rate up to a burst.

    :param rate_per_s: tokens a second.
    :param burst: the most that can be saved up.
    :param tokens: allowance at the start.
    """

    def __init__(self, rate_per_s: float, burst: float, tokens: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = tokens
        self._filled_ms: int | None = None

    def set_rate(self, rate_per_s: float, now_ms: int) -> None:
        """Change the rate from now on.

        :param rate_per_s: tokens a second.
        :param now_ms: the time.
        """
        self._fill(now_ms)
        self._rate_per_s = rate_per_s

    def take(self, tokens: float, now_ms: int) -> bool:
        """Take tokens if there are enough.

        :param tokens: how many.
        :param now_ms: the time.
        :returns: false, with nothing taken, if there are too few.
        """
        self._fill(now_ms)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def wait_ms(self, tokens: float, now_ms: int) -> int:
        """Tell when there will be enough tokens.

        :param tokens: how many are wanted.
        :param now_ms: the time.
        :returns: time to wait, 0 if there are enough now.
        """
        self._fill(now_ms)
        lacking = tokens - self._tokens
        return max(0, int(1_000 * lacking / self._rate_per_s) + 1) if lacking > 0 else 0

    def _fill(self, now_ms: int) -> None:
        if self._filled_ms is not None and now_ms > self._filled_ms:
            gained = (now_ms - self._filled_ms) * self._rate_per_s / 1_000
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_ms = now_ms
