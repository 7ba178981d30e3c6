"""One cost, measured at several sizes."""

import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from tools.slopes._line import Line, fit

REPEATS = 3


@dataclass(frozen=True, slots=True)
class Series:
    """One cost, measured at several sizes.

    :param name: what is measured.
    :param variable: what the sizes count.
    :param unit: the unit of the values.
    :param points: values by size, one a repeat.
    """

    name: str
    variable: str
    unit: str
    points: Mapping[float, Sequence[float]]

    def line(self) -> Line | None:
        """Fit a line.

        :returns: the line, None for a single size.
        """
        return fit(self.points) if len(self.points) > 1 else None

    def median(self, size: float) -> float:
        """Give the median at a measured size.

        :param size: the size.
        :returns: the median of the repeats.
        """
        return statistics.median(self.points[size])

    def document(self) -> dict[str, Any]:
        """Give the series as one JSON line.

        :returns: plain data.
        """
        line = self.line()
        found = {"name": self.name, "variable": self.variable, "unit": self.unit}
        found["points"] = [
            {"size": size, "values": [rounded(value) for value in values]}
            for size, values in self.points.items()
        ]
        if line is not None:
            found["slope"] = rounded(line.slope)
            found["slope_low"] = rounded(line.slope_low)
            found["slope_high"] = rounded(line.slope_high)
            found["at_zero"] = rounded(line.at_zero)
        return found


def from_document(document: Mapping[str, Any]) -> Series:
    """Read a series back.

    :param document: as given by :meth:`Series.document`.
    :returns: the series.
    """
    points = {point["size"]: point["values"] for point in document["points"]}
    return Series(document["name"], document["variable"], document["unit"], points)


def measure(
    name: str,
    variable: str,
    unit: str,
    sizes: Iterable[int],
    value_at: Callable[[int], float],
    repeats: int = REPEATS,
) -> Series:
    """Measure at each size in turn, and all over again for each repeat.

    :param name: what is measured.
    :param variable: what the sizes count.
    :param unit: the unit of the values.
    :param sizes: the sizes.
    :param value_at: measures once at a size.
    :param repeats: how often.
    :returns: the series.
    """
    sizes = tuple(sizes)
    points: dict[float, list[float]] = {size: [] for size in sizes}
    for _ in range(repeats):
        for size in sizes:
            points[size].append(value_at(size))
    return Series(name, variable, unit, points)


def rounded(value: float) -> float:
    """Round to four significant digits.

    :param value: any number.
    :returns: the rounded number.
    """
    return float(f"{value:.4g}")
