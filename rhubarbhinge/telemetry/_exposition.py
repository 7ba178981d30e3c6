"""Rendering of metrics with aioprometheus."""

from collections.abc import Iterable, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from rhubarbhinge.telemetry._labels import Labels


class _PrefilledHistogram(Histogram):
    """A histogram whose rows are set directly rather than by observing single values."""

    rows: list[tuple[Labels, dict]] = []

    def get_all(self) -> list[tuple[Labels, dict]]:
        """Return the rows; called by the formatter.

        :returns: the rows that were set.
        """
        return self.rows


class Exposition:
    """A registry that is filled for a single rendering."""

    def __init__(self):
        self._registry = Registry()

    def counter(self, name: str, help_text: str, rows: Iterable[tuple[Labels, float]]) -> None:
        """Add a counter.

        :param name: its name.
        :param help_text: its description.
        :param rows: labels and values.
        """
        metric = Counter(name, help_text, registry=self._registry)
        for labels, value in rows:
            metric.set(_escape(labels), value)

    def gauge(self, name: str, help_text: str, rows: Iterable[tuple[Labels, float]]) -> None:
        """Add a gauge.

        :param name: its name.
        :param help_text: its description.
        :param rows: labels and values.
        """
        metric = Gauge(name, help_text, registry=self._registry)
        for labels, value in rows:
            metric.set(_escape(labels), value)

    def histogram(
        self,
        name: str,
        help_text: str,
        bounds: Sequence[float],
        rows: Iterable[tuple[Labels, Sequence[int], float]],
    ) -> None:
        """Add a histogram.

        :param name: its name.
        :param help_text: its description.
        :param bounds: upper bounds of the buckets.
        :param rows: labels, counts (one more than bounds, not cumulative) and the sum of values.
        """
        metric = _PrefilledHistogram(name, help_text, registry=self._registry)
        metric.rows = [
            (_escape(labels), _cumulative(bounds, counts, total)) for labels, counts, total in rows
        ]

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format.

        :returns: the document.
        """
        return render(self._registry, [])[0]


def _cumulative(bounds: Sequence[float], counts: Sequence[int], total: float) -> dict:
    row: dict = {}
    cumulative = 0
    for bound, count in zip((*bounds, float("inf")), counts, strict=True):
        cumulative += count
        row[bound] = cumulative
    row["count"] = cumulative
    row["sum"] = total
    return row


def _escape(labels: Labels) -> Labels:
    return {name: _escape_value(value) for name, value in labels.items()}


def _escape_value(value: str) -> str:
    """Escape a label value; the formatter of aioprometheus does not."""
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
