"""A histogram with given bucket bounds."""

from bisect import bisect_left


class BucketHistogram:
    """Counts values in buckets with given upper bounds.

    :param bounds: inclusive upper bounds, in ascending order.
    """

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...]):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Record one value.

        :param value: the value.
        """
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value
