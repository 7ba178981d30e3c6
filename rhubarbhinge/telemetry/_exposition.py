"""Metrics of the library that take ready-made values."""

from collections.abc import Iterable, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from rhubarbhinge.telemetry._labels import Labels


class _Filled(Histogram):
    """A histogram of the library whose rows are set at once, not observed one by one."""

    rows: list[tuple[Labels, dict]] = []

    def get_all(self) -> list[tuple[Labels, dict]]:
        """Give the rows to the formatter.

        :returns: the rows that were set.
        """
        return self.rows


class Exposition:
    """A registry that is filled afresh for one rendering."""

    def __init__(self):
        self._registry = Registry()

    def counter(self, name: str, text: str, rows: Iterable[tuple[Labels, float]]) -> None:
        """Add a counter.

        :param name: its name.
        :param text: what it counts.
        :param rows: labels and values.
        """
        metric = Counter(name, text, registry=self._registry)
        for labels, value in rows:
            metric.set(_escape(labels), value)

    def gauge(self, name: str, text: str, rows: Iterable[tuple[Labels, float]]) -> None:
        """Add a gauge.

        :param name: its name.
        :param text: what it shows.
        :param rows: labels and values.
        """
        metric = Gauge(name, text, registry=self._registry)
        for labels, value in rows:
            metric.set(_escape(labels), value)

    def histogram(
        self,
        name: str,
        text: str,
        bounds: Sequence[float],
        rows: Iterable[tuple[Labels, Sequence[int], float]],
    ) -> None:
        """Add a histogram.

        :param name: its name.
        :param text: what it shows.
        :param bounds: upper bounds of the buckets.
        :param rows: labels, counts (one more than bounds, not cumulative) and the sum of values.
        """
        metric = _Filled(name, text, registry=self._registry)
        metric.rows = [
            (_escape(labels), _cumulative(bounds, counts, total)) for labels, counts, total in rows
        ]

    def render(self) -> bytes:
        """Render all of it in the text format.

        :returns: the document.
        """
        return render(self._registry, [])[0]


def _cumulative(bounds: Sequence[float], counts: Sequence[int], total: float) -> dict:
    row: dict = {}
    seen = 0
    for bound, count in zip((*bounds, float("inf")), counts, strict=True):
        seen += count
        row[bound] = seen
    row["count"] = seen
    row["sum"] = total
    return row


def _escape(labels: Labels) -> Labels:
    return {name: _escape_value(value) for name, value in labels.items()}


def _escape_value(value: str) -> str:
    """Escape a label's value, which the library's formatter leaves as it is."""
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
