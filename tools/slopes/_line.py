"""A straight line through measured points."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line, fitted once for each repeat.

    :param slope: median of the repeats, in the series' unit for each unit of size.
    :param slope_low: lowest of the repeats.
    :param slope_high: highest of the repeats.
    :param at_zero: median of the repeats at size zero, in the series' unit.
    """

    slope: float
    slope_low: float
    slope_high: float
    at_zero: float

    def at(self, size: float) -> float:
        """Give the value at a size.

        :param size: the size.
        :returns: the value, in the series' unit.
        """
        return self.at_zero + self.slope * size


def fit(points: Mapping[float, Sequence[float]]) -> Line:
    """Fit a line for each repeat by least squares.

    :param points: values by size, one value a repeat; at least two sizes.
    :returns: the line.
    :raises ValueError: when there are fewer than two sizes, or unequal numbers of repeats.
    """
    sizes = list(points)
    if len(sizes) < 2:
        raise ValueError("a slope needs two sizes")
    repeats = zip(*points.values(), strict=True)
    fitted = [statistics.linear_regression(sizes, values) for values in repeats]
    slopes = [each.slope for each in fitted]
    at_zero = statistics.median(each.intercept for each in fitted)
    return Line(statistics.median(slopes), min(slopes), max(slopes), at_zero)
