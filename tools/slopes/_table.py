"""A table of series, one row each."""

from tools.slopes._series import Series


def row(series: Series) -> str:
    """Describe a series in one line.

    :param series: the series.
    :returns: its medians by size, and its slope with the lowest and highest repeat.
    """
    medians = ", ".join(f"{size:g}: {series.median(size):.4g}" for size in series.points)
    text = f"{series.name} [{series.unit}] by {series.variable}: {medians}"
    line = series.line()
    if line is None:
        return text
    spread = f"{line.slope_low:.3g} to {line.slope_high:.3g}"
    return f"{text}; slope {line.slope:.4g} ({spread}), at zero {line.at_zero:.4g}"
