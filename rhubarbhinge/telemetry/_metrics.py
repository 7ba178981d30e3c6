"""Counters, gauges and histograms of one process."""

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, TypeVar

from rhubarbhinge.telemetry._bucket_histogram import BucketHistogram
from rhubarbhinge.telemetry._labels import Labels
from rhubarbhinge.telemetry._log_histogram import BOUNDS, LogHistogram
from rhubarbhinge.telemetry._scalar_metric import ScalarMetric
from rhubarbhinge.telemetry._sub_query_kind import SubQueryKind

if TYPE_CHECKING:
    from rhubarbhinge.telemetry._exposition import Exposition

PREFIX = "rhubarbhinge_"
"""Prefix of all metric names."""
COVERAGE_BOUNDS = (0.0, 0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.99, 0.999, 0.999999, 1.0)
"""Upper bounds of the coverage buckets; only complete answers exceed the last but one."""
MAX_SERIES = 100
"""Maximum number of (workspace, class) pairs and of refusal codes; bounds the rendering time."""
OTHER = "other"
"""Label value of the series that collects all others beyond ``MAX_SERIES``."""
RENDERED_BUCKET_STEP = 5
"""Number of latency buckets merged into a rendered one, whose bounds differ by a factor of 1.61."""
QUANTILES = {"p50_ms": 0.5, "p99_ms": 0.99, "p999_ms": 0.999}
"""Quantiles in a summary."""

HistogramT = TypeVar("HistogramT")
_RENDERED_BOUNDS = tuple(float(f"{bound:.4g}") for bound in BOUNDS[::RENDERED_BUCKET_STEP])


class Metrics:
    """Counters, gauges and histograms of one process.

    Recording only updates plain numbers; objects of the metrics library are created for rendering.
    """

    def __init__(self):
        self._latency: dict[tuple[str, str], LogHistogram] = {}
        self._coverage: dict[tuple[str, str], BucketHistogram] = {}
        self._sub_queries: Counter[tuple[str, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._refusal_delays: dict[str, LogHistogram] = {}
        self._runs: Counter[str] = Counter()
        self._config: dict[str, tuple[int, float]] = {}
        self._members: dict[str, int] = {}
        self._drains = 0
        self._slots: dict[str, tuple[int, int]] = {}
        self._queues: dict[str, int] = {}
        self._scalars: dict[ScalarMetric, float] = {}
        self._loop_lag = LogHistogram()

    def observe_latency(self, tenant: str, class_name: str, latency_ms: float) -> None:
        """Record the latency of an answer.

        :param tenant: name of the workspace.
        :param class_name: name of the class.
        :param latency_ms: time from the request's last byte received to the answer's first byte
            sent, in ms.
        """
        histogram = self._latency.get((tenant, class_name))
        if histogram is None:
            histogram = _add_series(self._latency, (tenant, class_name), LogHistogram())
        histogram.observe(latency_ms)

    def observe_coverage(self, tenant: str, class_name: str, coverage: float) -> None:
        """Record the coverage of an answer.

        :param tenant: name of the workspace.
        :param class_name: name of the class.
        :param coverage: fraction of the records that the answer reflects, 0 to 1.
        """
        histogram = self._coverage.get((tenant, class_name))
        if histogram is None:
            new = BucketHistogram(COVERAGE_BOUNDS)
            histogram = _add_series(self._coverage, (tenant, class_name), new)
        histogram.observe(coverage)

    def count_sub_queries(self, class_name: str, kind: SubQueryKind, number: int = 1) -> None:
        """Count sub-queries sent to upstreams.

        :param class_name: name of the class.
        :param kind: the reason for sending them.
        :param number: the number of sub-queries.
        """
        self._sub_queries[class_name, kind] += number

    def count_refusal(self, code: str, took_ms: float | None = None) -> None:
        """Count a refused request.

        :param code: code of the refusal.
        :param took_ms: time until the request was refused, in ms; None if it was refused
            immediately.
        """
        is_known = code in self._refusals or len(self._refusals) < MAX_SERIES
        name = code if is_known else OTHER
        self._refusals[name] += 1
        if took_ms is not None:
            self._refusal_delays.setdefault(name, LogHistogram()).observe(took_ms)

    def count_run(self, outcome: str) -> None:
        """Count the outcome of a run that must not be repeated.

        :param outcome: ``ran``, ``refused_not_run`` or ``unknown``.
        """
        self._runs[outcome] += 1

    def set_config(self, key: str, revision: int, age_ms: float) -> None:
        """Set the configuration in force.

        :param key: ``register``, ``rules`` or ``vms``.
        :param revision: the revision in force.
        :param age_ms: time since the platform or a peer last confirmed it, in ms.
        """
        self._config[key] = (revision, age_ms)

    def set_members(self, counts: dict[str, int]) -> None:
        """Set the number of members.

        :param counts: number of members by state.
        """
        self._members = dict(counts)

    def set_drains(self, number: int) -> None:
        """Set the number of draining upstreams.

        :param number: the number of upstreams.
        """
        self._drains = number

    def set_slots(self, system: str, in_use: int, total: int) -> None:
        """Set the number of upstream slots of a system that this process owns.

        :param system: name of the system.
        :param in_use: slots with a request in flight.
        :param total: all slots.
        """
        self._slots[system] = (in_use, total)

    def set_queue_length(self, class_name: str, length: int) -> None:
        """Set the number of waiting requests.

        :param class_name: name of the class.
        :param length: the number of requests.
        """
        self._queues[class_name] = length

    def set_scalar(self, metric: ScalarMetric, value: float) -> None:
        """Set the value of a metric.

        :param metric: the metric.
        :param value: the value.
        """
        self._scalars[metric] = value

    def observe_loop_lag(self, late_ms: float) -> None:
        """Record the delay of a periodic timer.

        :param late_ms: time since it was due, in ms.
        """
        self._loop_lag.observe(late_ms)

    def render(self) -> bytes:
        """Render all metrics in the Prometheus text format.

        :returns: the document for ``/metrics``, of type ``CONTENT_TYPE``.
        """
        # Imported lazily, since importing aioprometheus would add 35 ms to the startup.
        from rhubarbhinge.telemetry._exposition import Exposition

        exposition = Exposition()
        self._add_histograms(exposition)
        self._add_counters(exposition)
        self._add_gauges(exposition)
        return exposition.render()

    def summary(self) -> dict:
        """Summarise latency, extra load, refusals and runs.

        :returns: plain data for ``/v1/status``; the error of quantiles is at most 4.9%.
        """
        by_class: dict[str, LogHistogram] = {}
        for (_, class_name), histogram in self._latency.items():
            by_class.setdefault(class_name, LogHistogram()).add(histogram)
        return {
            "latency": {name: _quantiles(histogram) for name, histogram in by_class.items()},
            "extra_load": self._extra_load(),
            "refusals": dict(self._refusals),
            "runs": dict(self._runs),
        }

    def _extra_load(self) -> float | None:
        by_kind: Counter[str] = Counter()
        for (_, kind), number in self._sub_queries.items():
            by_kind[kind] += number
        base = by_kind[SubQueryKind.BASE]
        return (by_kind.total() - base) / base if base else None

    def _add_histograms(self, exposition: "Exposition") -> None:
        exposition.histogram(
            PREFIX + "query_latency_ms",
            "Latency of answers in ms",
            _RENDERED_BOUNDS,
            [
                (_series_labels(key), _rendered_counts(h), h.total)
                for key, h in self._latency.items()
            ],
        )
        exposition.histogram(
            PREFIX + "refusal_ms",
            "Time until requests were refused or failed, in ms",
            _RENDERED_BOUNDS,
            [
                ({"code": code}, _rendered_counts(h), h.total)
                for code, h in self._refusal_delays.items()
            ],
        )
        exposition.histogram(
            PREFIX + "loop_lag_ms",
            "Lateness of a periodic timer in ms",
            _RENDERED_BOUNDS,
            [({}, _rendered_counts(self._loop_lag), self._loop_lag.total)],
        )
        exposition.histogram(
            PREFIX + "query_coverage",
            "Share of the records that answers reflect",
            COVERAGE_BOUNDS,
            [(_series_labels(key), h.counts, h.total) for key, h in self._coverage.items()],
        )

    def _add_counters(self, exposition: "Exposition") -> None:
        exposition.counter(
            PREFIX + "sub_queries_total",
            "Sub-queries sent to upstreams; hedge and retry are extra load",
            [({"class": name, "kind": kind}, n) for (name, kind), n in self._sub_queries.items()],
        )
        exposition.counter(
            PREFIX + "refusals_total", "Refused requests", _rows("code", self._refusals)
        )
        exposition.counter(
            PREFIX + "runs_total",
            "Outcomes of runs that must not repeat",
            _rows("outcome", self._runs),
        )
        for metric, value in self._scalars.items():
            if metric.is_counter:
                exposition.counter(PREFIX + metric.name, metric.help, [({}, value)])

    def _add_gauges(self, exposition: "Exposition") -> None:
        revisions = {key: revision for key, (revision, _) in self._config.items()}
        ages_ms = {key: age_ms for key, (_, age_ms) in self._config.items()}
        in_use = {name: used for name, (used, _) in self._slots.items()}
        totals = {name: total for name, (_, total) in self._slots.items()}
        exposition.gauge(PREFIX + "config_revision", "Revision in force", _rows("key", revisions))
        exposition.gauge(
            PREFIX + "config_age_ms", "Time since it was last confirmed", _rows("key", ages_ms)
        )
        exposition.gauge(PREFIX + "members", "Members by state", _rows("state", self._members))
        exposition.gauge(PREFIX + "drains", "Upstreams that are draining", [({}, self._drains)])
        exposition.gauge(PREFIX + "slots_in_use", "Slots in use", _rows("system", in_use))
        exposition.gauge(PREFIX + "slots", "Slots owned by this process", _rows("system", totals))
        exposition.gauge(
            PREFIX + "queue_length", "Requests that wait", _rows("class", self._queues)
        )
        for metric, value in self._scalars.items():
            if not metric.is_counter:
                exposition.gauge(PREFIX + metric.name, metric.help, [({}, value)])


def _add_series(
    series: dict[tuple[str, str], HistogramT], key: tuple[str, str], new: HistogramT
) -> HistogramT:
    if len(series) >= MAX_SERIES:
        key = (OTHER, OTHER)
    return series.setdefault(key, new)


def _series_labels(key: tuple[str, str]) -> Labels:
    return {"tenant": key[0], "class": key[1]}


def _rows(label: str, values: dict) -> Iterator[tuple[Labels, float]]:
    return (({label: name}, value) for name, value in values.items())


def _rendered_counts(histogram: LogHistogram) -> list[int]:
    """Merge the buckets between adjacent rendered bounds."""
    counts = histogram.counts
    rendered = [counts[0]]
    for start in range(1, len(counts), RENDERED_BUCKET_STEP):
        rendered.append(sum(counts[start : start + RENDERED_BUCKET_STEP]))
    return rendered


def _quantiles(histogram: LogHistogram) -> dict:
    values = {name: histogram.quantile(fraction) for name, fraction in QUANTILES.items()}
    return {"count": histogram.count, **values, "most_ms": histogram.max}
