"""A histogram with logarithmic buckets."""

import math

FIRST_BOUND = 0.1
"""Upper bound of the first bucket, in the unit of the values (ms for latencies)."""
BOUND_RATIO = 1.1
"""Ratio of adjacent bounds; the error of an estimate is at most ``sqrt(BOUND_RATIO) - 1``, 4.9%."""
BUCKET_COUNT = 146
"""Number of bounded buckets; the last bound is ``FIRST_BOUND * BOUND_RATIO**145``, about 1e5."""
RELATIVE_ERROR = math.sqrt(BOUND_RATIO) - 1
"""Maximum relative error of a quantile between ``FIRST_BOUND`` and the last bound."""
BOUNDS = tuple(FIRST_BOUND * BOUND_RATIO**index for index in range(BUCKET_COUNT))
"""Upper bounds of the buckets; they are followed by one bucket without a bound."""

_LAST_BOUND = BOUNDS[-1]
_log = math.log
_BUCKETS_PER_LOG = 1 / math.log(BOUND_RATIO)
_OFFSET = 1 - math.log(FIRST_BOUND) * _BUCKETS_PER_LOG


class LogHistogram:
    """Counts values in logarithmic buckets; observing a value is cheap."""

    __slots__ = ("counts", "total", "_max")

    def __init__(self):
        self.counts = [0] * (BUCKET_COUNT + 1)
        self.total = 0.0
        self._max = 0.0

    def observe(self, value: float) -> None:
        """Record one value.

        :param value: the value; values below ``FIRST_BOUND`` are counted in the first bucket.
        """
        if value >= _LAST_BOUND:
            index = BUCKET_COUNT if value > _LAST_BOUND else BUCKET_COUNT - 1
        else:
            index = int(_log(value) * _BUCKETS_PER_LOG + _OFFSET) if value > FIRST_BOUND else 0
        self.counts[index] += 1
        self.total += value
        if value > self._max:
            self._max = value

    @property
    def count(self) -> int:
        """Return the number of recorded values.

        :returns: the number.
        """
        return sum(self.counts)

    @property
    def max(self) -> float:
        """Return the largest recorded value.

        :returns: the value; 0 if no value was recorded.
        """
        return self._max

    def quantile(self, fraction: float) -> float | None:
        """Estimate a quantile by the geometric centre of its bucket.

        :param fraction: the quantile, 0 to 1.
        :returns: the estimate, which never exceeds the largest value; None if no value was
            recorded.
        """
        count = self.count
        if count == 0:
            return None
        rank = max(1, math.ceil(fraction * count))
        seen = 0
        for index, in_bucket in enumerate(self.counts):
            seen += in_bucket
            if seen >= rank:
                return min(self._max, _bucket_estimate(index, self._max))
        raise AssertionError("the rank never exceeds the number of values")

    def add(self, other: "LogHistogram") -> None:
        """Add the counts of another histogram to this one.

        :param other: the other histogram.
        """
        self.counts = [
            mine + theirs for mine, theirs in zip(self.counts, other.counts, strict=True)
        ]
        self.total += other.total
        self._max = max(self._max, other.max)


def _bucket_estimate(index: int, largest: float) -> float:
    if index >= BUCKET_COUNT:
        return largest
    return BOUNDS[index] / math.sqrt(BOUND_RATIO)
