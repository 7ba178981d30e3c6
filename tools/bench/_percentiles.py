"""Percentiles by nearest rank."""

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], share: float) -> float | None:
    """Give a percentile: the smallest value that at least this share of the values reach.

    :param values: the values in any order.
    :param share: such as 0.99.
    :returns: the percentile, None without values.
    """
    if not values:
        return None
    ranked = sorted(values)
    return ranked[max(1, math.ceil(share * len(ranked))) - 1]


def ratio(part: float | None, whole: float | None) -> float | None:
    """Divide.

    :param part: the dividend.
    :param whole: the divisor.
    :returns: the ratio, None where it is not defined.
    """
    if part is None or not whole:
        return None
    return part / whole
