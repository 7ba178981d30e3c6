"""Quantiles of recent latencies, with a low cost per sample."""

import math

#: Ratio between the bounds of adjacent buckets: quantiles are accurate to 5 %.
_BUCKET_RATIO = 1.05
_LOG_RATIO = math.log(_BUCKET_RATIO)
#: Upper bound of the first bucket.
_FIRST_MS = 0.1
#: The last bucket starts near 10 minutes.
_BUCKETS = 320
#: Number of samples after which all counts are halved, so that old samples decay.
_DECAY_SAMPLES = 4096
#: Number of samples after which cached quantiles are recomputed, and minimum for a quantile.
_REFRESH_SAMPLES = 128


class LatencyHistogram:
    """Log-spaced histogram of one stream of latencies, with decaying counts."""

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._since_decay = 0
        self._since_refresh = 0
        self._total = 0.0
        self._quantiles: dict[float, float] = {}

    def observe(self, latency_ms: float) -> None:
        """Record one latency.

        :param latency_ms: the latency in ms.
        """
        index = int(math.log(latency_ms / _FIRST_MS) / _LOG_RATIO) if latency_ms > _FIRST_MS else 0
        self._counts[min(index, _BUCKETS - 1)] += 1
        self._total += 1
        self._since_decay += 1
        self._since_refresh += 1
        if self._since_refresh >= _REFRESH_SAMPLES:
            self._refresh()

    def quantile(self, share: float, default_ms: float) -> float:
        """Return a quantile.

        :param share: the quantile, between 0 and 1.
        :param default_ms: the result while there are too few samples.
        :returns: upper bound of the quantile's bucket, in ms.
        """
        if self._total < _REFRESH_SAMPLES:
            return default_ms
        known = self._quantiles.get(share)
        if known is None:
            known = self._quantiles[share] = self._compute(share)
        return known

    def _refresh(self) -> None:
        self._since_refresh = 0
        self._quantiles.clear()
        if self._since_decay >= _DECAY_SAMPLES:
            self._since_decay = 0
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def _compute(self, share: float) -> float:
        wanted = share * self._total
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if seen >= wanted:
                return _FIRST_MS * _BUCKET_RATIO ** (index + 1)
        return _FIRST_MS * _BUCKET_RATIO**_BUCKETS
