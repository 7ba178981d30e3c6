"""The counts and histograms of one process."""

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, TypeVar

from rhubarbhinge.telemetry._boundhistogram import BoundHistogram
from rhubarbhinge.telemetry._figure import Figure
from rhubarbhinge.telemetry._labels import Labels
from rhubarbhinge.telemetry._loghistogram import BOUNDS, LogHistogram
from rhubarbhinge.telemetry._subquerykind import SubQueryKind

if TYPE_CHECKING:
    from rhubarbhinge.telemetry._exposition import Exposition

PREFIX = "rhubarbhinge_"
"""Start of every metric's name."""
COVERAGE_BOUNDS = (0.0, 0.25, 0.5, 0.75, 0.8, 0.9, 0.95, 0.99, 0.999, 0.999999, 1.0)
"""Upper bounds of the coverage buckets; only whole answers lie above the last but one."""
MOST_SERIES = 100
"""Most pairs of tenant and class, and most refusal codes, told apart; bounds a rendering's time."""
OTHER = "other"
"""Name of the series that takes all that come after ``MOST_SERIES``."""
SHOWN_EVERY = 5
"""One in so many latency buckets is rendered; neighbouring bounds differ by a factor of 1.61."""
QUANTILES = {"p50_ms": 0.5, "p99_ms": 0.99, "p999_ms": 0.999}
"""Quantiles of a summary."""

H = TypeVar("H")
_SHOWN_BOUNDS = tuple(float(f"{bound:.4g}") for bound in BOUNDS[::SHOWN_EVERY])


class Metrics:
    """The counts and histograms of one process.

    Observing adds to plain numbers; the library's objects are filled when rendering.
    """

    def __init__(self):
        self._latency: dict[tuple[str, str], LogHistogram] = {}
        self._coverage: dict[tuple[str, str], BoundHistogram] = {}
        self._sub_queries: Counter[tuple[str, str]] = Counter()
        self._refusals: Counter[str] = Counter()
        self._refusal_delays: dict[str, LogHistogram] = {}
        self._runs: Counter[str] = Counter()
        self._config: dict[str, tuple[int, float]] = {}
        self._members: dict[str, int] = {}
        self._drains = 0
        self._slots: dict[str, tuple[int, int]] = {}
        self._queues: dict[str, int] = {}
        self._figures: dict[Figure, float] = {}
        self._loop_lag = LogHistogram()

    def observe_latency(self, tenant: str, class_name: str, latency_ms: float) -> None:
        """Count the latency of one answer.

        :param tenant: name of the tenant.
        :param class_name: name of the class.
        :param latency_ms: from the request's last byte in to the answer's first byte out, in ms.
        """
        histogram = self._latency.get((tenant, class_name))
        if histogram is None:
            histogram = _new_series(self._latency, (tenant, class_name), LogHistogram())
        histogram.observe(latency_ms)

    def observe_coverage(self, tenant: str, class_name: str, coverage: float) -> None:
        """Count the coverage of one answer.

        :param tenant: name of the tenant.
        :param class_name: name of the class.
        :param coverage: share of the records that the answer reflects, 0 to 1.
        """
        histogram = self._coverage.get((tenant, class_name))
        if histogram is None:
            fresh = BoundHistogram(COVERAGE_BOUNDS)
            histogram = _new_series(self._coverage, (tenant, class_name), fresh)
        histogram.observe(coverage)

    def count_sub_queries(self, class_name: str, kind: SubQueryKind, number: int = 1) -> None:
        """Count sub-queries that were sent to upstreams.

        :param class_name: name of the class.
        :param kind: why they were sent.
        :param number: how many.
        """
        self._sub_queries[class_name, kind] += number

    def count_refusal(self, code: str, took_ms: float | None = None) -> None:
        """Count a refused request.

        :param code: code of the refusal.
        :param took_ms: time until it was refused, in ms; None if that was at once.
        """
        known = code in self._refusals or len(self._refusals) < MOST_SERIES
        name = code if known else OTHER
        self._refusals[name] += 1
        if took_ms is not None:
            self._refusal_delays.setdefault(name, LogHistogram()).observe(took_ms)

    def count_run(self, outcome: str) -> None:
        """Count the outcome of a run that must not repeat.

        :param outcome: ``ran``, ``refused_not_run`` or ``unknown``.
        """
        self._runs[outcome] += 1

    def set_config(self, key: str, revision: int, age_ms: float) -> None:
        """Show the configuration in force.

        :param key: ``register``, ``rules`` or ``vms``.
        :param revision: the revision in force.
        :param age_ms: time since the platform or a peer last confirmed it, in ms.
        """
        self._config[key] = (revision, age_ms)

    def set_members(self, counts: dict[str, int]) -> None:
        """Show the membership.

        :param counts: number of members by state.
        """
        self._members = dict(counts)

    def set_drains(self, number: int) -> None:
        """Show how many upstreams are draining.

        :param number: how many.
        """
        self._drains = number

    def set_slots(self, system: str, in_use: int, total: int) -> None:
        """Show the slots of a system's upstreams that this process owns.

        :param system: name of the system.
        :param in_use: slots with a request in flight.
        :param total: all slots.
        """
        self._slots[system] = (in_use, total)

    def set_queue_length(self, class_name: str, length: int) -> None:
        """Show how many requests wait.

        :param class_name: name of the class.
        :param length: how many.
        """
        self._queues[class_name] = length

    def show(self, figure: Figure, value: float) -> None:
        """Show a single number.

        :param figure: what it is.
        :param value: the number.
        """
        self._figures[figure] = value

    def observe_loop_lag(self, late_ms: float) -> None:
        """Count how late a periodic timer ran.

        :param late_ms: time since it was due, in ms.
        """
        self._loop_lag.observe(late_ms)

    def render(self) -> bytes:
        """Render everything in the Prometheus text format.

        :returns: the document for ``/metrics``, of type ``CONTENT_TYPE``.
        """
        # Imported here: the library takes 35 ms, which a starting process spends better.
        from rhubarbhinge.telemetry._exposition import Exposition

        page = Exposition()
        self._add_histograms(page)
        self._add_counters(page)
        self._add_gauges(page)
        return page.render()

    def summary(self) -> dict:
        """Summarise latency, extra load, refusals and runs.

        :returns: plain data for ``/v1/status``; quantiles are off by at most 4.9%.
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

    def _add_histograms(self, page: "Exposition") -> None:
        page.histogram(
            PREFIX + "query_latency_ms",
            "Latency of answers in ms",
            _SHOWN_BOUNDS,
            [(_pair(key), _shown(h), h.total) for key, h in self._latency.items()],
        )
        page.histogram(
            PREFIX + "refusal_ms",
            "Time until requests were refused or failed, in ms",
            _SHOWN_BOUNDS,
            [({"code": code}, _shown(h), h.total) for code, h in self._refusal_delays.items()],
        )
        page.histogram(
            PREFIX + "loop_lag_ms",
            "Lateness of a periodic timer in ms",
            _SHOWN_BOUNDS,
            [({}, _shown(self._loop_lag), self._loop_lag.total)],
        )
        page.histogram(
            PREFIX + "query_coverage",
            "Share of the records that answers reflect",
            COVERAGE_BOUNDS,
            [(_pair(key), h.counts, h.total) for key, h in self._coverage.items()],
        )

    def _add_counters(self, page: "Exposition") -> None:
        page.counter(
            PREFIX + "sub_queries_total",
            "Sub-queries sent to upstreams; hedge and retry are extra load",
            [({"class": name, "kind": kind}, n) for (name, kind), n in self._sub_queries.items()],
        )
        page.counter(PREFIX + "refusals_total", "Refused requests", _rows("code", self._refusals))
        page.counter(
            PREFIX + "runs_total",
            "Outcomes of runs that must not repeat",
            _rows("outcome", self._runs),
        )
        for figure, value in self._figures.items():
            if figure.only_grows:
                page.counter(PREFIX + figure.name, figure.help, [({}, value)])

    def _add_gauges(self, page: "Exposition") -> None:
        revisions = {key: revision for key, (revision, _) in self._config.items()}
        ages_ms = {key: age_ms for key, (_, age_ms) in self._config.items()}
        in_use = {name: used for name, (used, _) in self._slots.items()}
        totals = {name: total for name, (_, total) in self._slots.items()}
        page.gauge(PREFIX + "config_revision", "Revision in force", _rows("key", revisions))
        page.gauge(
            PREFIX + "config_age_ms", "Time since it was last confirmed", _rows("key", ages_ms)
        )
        page.gauge(PREFIX + "members", "Members by state", _rows("state", self._members))
        page.gauge(PREFIX + "drains", "Upstreams that are draining", [({}, self._drains)])
        page.gauge(PREFIX + "slots_in_use", "Slots in use", _rows("system", in_use))
        page.gauge(PREFIX + "slots", "Slots owned by this process", _rows("system", totals))
        page.gauge(PREFIX + "queue_length", "Requests that wait", _rows("class", self._queues))
        for figure, value in self._figures.items():
            if not figure.only_grows:
                page.gauge(PREFIX + figure.name, figure.help, [({}, value)])


def _new_series(series: dict[tuple[str, str], H], key: tuple[str, str], fresh: H) -> H:
    if len(series) >= MOST_SERIES:
        key = (OTHER, OTHER)
    return series.setdefault(key, fresh)


def _pair(key: tuple[str, str]) -> Labels:
    return {"tenant": key[0], "class": key[1]}


def _rows(label: str, values: dict) -> Iterator[tuple[Labels, float]]:
    return (({label: name}, value) for name, value in values.items())


def _shown(histogram: LogHistogram) -> list[int]:
    """Sum the buckets between two shown bounds."""
    counts = histogram.counts
    shown = [counts[0]]
    for start in range(1, len(counts), SHOWN_EVERY):
        shown.append(sum(counts[start : start + SHOWN_EVERY]))
    return shown


def _quantiles(histogram: LogHistogram) -> dict:
    values = {name: histogram.quantile(fraction) for name, fraction in QUANTILES.items()}
    return {"count": histogram.count, **values, "most_ms": histogram.most}
