"""Latency quantiles over the recent past, cheap to feed."""

import math

#: Ratio between neighbouring buckets: quantiles are exact to 5 %.
_BUCKET_RATIO = 1.05
_LOG_RATIO = math.log(_BUCKET_RATIO)
#: The first bucket ends here.
_FIRST_MS = 0.1
#: The last bucket starts near 10 minutes.
_BUCKETS = 320
#: After so many samples all counts are halved, so that the past fades.
_DECAY_SAMPLES = 4096
#: Quantiles are worked out again after so many samples.
_REFRESH_SAMPLES = 128


class LatencyHistogram:
    """Fading log-spaced histogram of one stream of latencies."""

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._since_decay = 0
        self._since_refresh = 0
        self._total = 0.0
        self._quantiles: dict[float, float] = {}

    def observe(self, latency_ms: float) -> None:
        """Count one latency.

        :param latency_ms: milliseconds.
        """
        index = int(math.log(latency_ms / _FIRST_MS) / _LOG_RATIO) if latency_ms > _FIRST_MS else 0
        self._counts[min(index, _BUCKETS - 1)] += 1
        self._total += 1
        self._since_decay += 1
        self._since_refresh += 1
        if self._since_refresh >= _REFRESH_SAMPLES:
            self._refresh()

    def quantile(self, share: float, default_ms: float) -> float:
        """Give a quantile.

        :param share: between 0 and 1.
        :param default_ms: the answer before there are samples enough.
        :returns: milliseconds, the bucket's upper end.
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
