"""A histogram with log-spaced buckets."""

import math

LEAST = 0.1
"""Upper bound of the first bucket, in the unit of the values (ms for latencies)."""
GROWTH = 1.1
"""Ratio of neighbouring bounds; an estimate is off by at most ``sqrt(GROWTH) - 1``, 4.9%."""
BUCKETS = 146
"""Buckets with an upper bound; the last bound is ``LEAST * GROWTH**145``, about 100,000."""
RELATIVE_ERROR = math.sqrt(GROWTH) - 1
"""Largest relative error of a quantile between ``LEAST`` and the last bound."""
BOUNDS = tuple(LEAST * GROWTH**index for index in range(BUCKETS))
"""Upper bounds of the buckets; one more bucket, without a bound, follows."""

_LAST = BOUNDS[-1]
_log = math.log
_PER_LOG = 1 / math.log(GROWTH)
_OFFSET = 1 - math.log(LEAST) * _PER_LOG


class LogHistogram:
    """Counts values in log-spaced buckets; ``observe`` is cheap."""

    __slots__ = ("counts", "total", "_most")

    def __init__(self):
        self.counts = [0] * (BUCKETS + 1)
        self.total = 0.0
        self._most = 0.0

    def observe(self, value: float) -> None:
        """Count one value.

        :param value: the value; below ``LEAST`` it falls into the first bucket.
        """
        if value >= _LAST:
            index = BUCKETS if value > _LAST else BUCKETS - 1
        else:
            index = int(_log(value) * _PER_LOG + _OFFSET) if value > LEAST else 0
        self.counts[index] += 1
        self.total += value
        if value > self._most:
            self._most = value

    @property
    def count(self) -> int:
        """Tell how many values were counted.

        :returns: the number.
        """
        return sum(self.counts)

    @property
    def most(self) -> float:
        """Tell the largest value.

        :returns: the value; 0 if none was counted.
        """
        return self._most

    def quantile(self, fraction: float) -> float | None:
        """Estimate a quantile by the geometric middle of its bucket.

        :param fraction: 0 to 1.
        :returns: the estimate, never above the largest value; None if no value was counted.
        """
        count = self.count
        if count == 0:
            return None
        rank = max(1, math.ceil(fraction * count))
        seen = 0
        for index, in_bucket in enumerate(self.counts):
            seen += in_bucket
            if seen >= rank:
                return min(self._most, _middle(index, self._most))
        raise AssertionError("the ranks end at the count")

    def add(self, other: "LogHistogram") -> None:
        """Add the counts of another histogram to this one.

        :param other: the other histogram.
        """
        self.counts = [
            mine + theirs for mine, theirs in zip(self.counts, other.counts, strict=True)
        ]
        self.total += other.total
        self._most = max(self._most, other.most)


def _middle(index: int, most: float) -> float:
    if index >= BUCKETS:
        return most
    return BOUNDS[index] / math.sqrt(GROWTH)
