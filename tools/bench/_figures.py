"""What the tables show of some cells."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tools.bench._cell import Cell
from tools.bench._percentiles import percentile, ratio
from tools.bench._sample import Sample


@dataclass(frozen=True, slots=True)
class ClassRule:
    """What the rules promise a class.

    :param deadline_ms: its deadline.
    :param least_coverage: coverage below which an answer does not count.
    """

    deadline_ms: float
    least_coverage: float


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one cell, or of several taken together.

    Latency and coverage are those of the most important class's requests that were not refused;
    answers that fell short or never came are among them, with the time until that was known.

    :param requests: requests of all classes.
    :param p50_ms: median latency.
    :param p99_ms: its 99th percentile.
    :param p999_ms: its 99.9th percentile.
    :param coverage: mean coverage.
    :param least_coverage: least coverage.
    :param short: requests not refused that got no good answer, a shortfall or nothing.
    :param extra_load: hedges and retries over base sub-queries, as the entries count them.
    :param seen_load: sub-queries that the searchers saw over base ones, less 1.
    :param refusals: requests refused as not run, all classes.
    :param refusal_p50_ms: median time from the written request to its refusal.
    :param refusal_p99_ms: its 99th percentile.
    :param goodput_per_s: good answers a second by class: whole enough, and within the deadline.
    :param lag_p99_ms: 99th percentile of the generator's own lateness, part of the latency.
    :param cores: cores used by group of processes.
    :param busiest: cores used by the busiest process of each group; at most 1.
    """

    requests: int
    p50_ms: float | None
    p99_ms: float | None
    p999_ms: float | None
    coverage: float | None
    least_coverage: float | None
    short: int
    extra_load: float | None
    seen_load: float | None
    refusals: int
    refusal_p50_ms: float | None
    refusal_p99_ms: float | None
    goodput_per_s: Mapping[str, float]
    lag_p99_ms: float | None
    cores: Mapping[str, float]
    busiest: Mapping[str, float]


def figures(cells: Sequence[Cell], rules: Mapping[str, ClassRule], most: str) -> Figures:
    """Work out the figures of some cells of one scenario and variant.

    :param cells: the cells; percentiles are taken over the requests of all of them.
    :param rules: the classes by name.
    :param most: the most important class.
    :returns: the figures.
    """
    samples = [sample for cell in cells for sample in cell.samples]
    admitted = [each for each in samples if each.class_name == most and not each.is_refusal]
    latencies = [sample.latency_ms for sample in admitted]
    coverages = [sample.coverage for sample in admitted]
    refusal_ms = [sample.answer_ms for sample in samples if sample.is_refusal]
    counts = _summed([cell.counts for cell in cells])
    measured_s = sum(cell.measured_s for cell in cells)
    seen = ratio(counts["searches"], counts["base"])
    return Figures(
        requests=len(samples),
        p50_ms=percentile(latencies, 0.5),
        p99_ms=percentile(latencies, 0.99),
        p999_ms=percentile(latencies, 0.999),
        coverage=ratio(sum(coverages), len(coverages)),
        least_coverage=min(coverages, default=None),
        short=sum(not is_good(sample, rules[sample.class_name]) for sample in admitted),
        extra_load=ratio(counts["hedge"] + counts["retry"], counts["base"]),
        seen_load=None if seen is None else seen - 1.0,
        refusals=len(refusal_ms),
        refusal_p50_ms=percentile(refusal_ms, 0.5),
        refusal_p99_ms=percentile(refusal_ms, 0.99),
        goodput_per_s=_goodput(samples, rules, measured_s),
        lag_p99_ms=percentile([sample.lag_ms for sample in samples], 0.99),
        cores=_mean([{name: use.cores for name, use in cell.uses.items()} for cell in cells]),
        busiest=_mean([{name: use.busiest for name, use in cell.uses.items()} for cell in cells]),
    )


def is_good(sample: Sample, rule: ClassRule) -> bool:
    """Say whether a request was answered as its class is promised.

    :param sample: the request.
    :param rule: its class.
    :returns: whether the answer was whole enough and in time, counted from the intended arrival.
    """
    whole = sample.status == 200 and sample.coverage >= rule.least_coverage
    return whole and sample.latency_ms <= rule.deadline_ms


def _goodput(
    samples: Sequence[Sample], rules: Mapping[str, ClassRule], measured_s: float
) -> dict[str, float]:
    good: Counter[str] = Counter()
    for sample in samples:
        good[sample.class_name] += is_good(sample, rules[sample.class_name])
    return {name: number / measured_s for name, number in good.items()}


def _summed(counts: Sequence[Mapping[str, float]]) -> Counter[str]:
    total: Counter[str] = Counter()
    for each in counts:
        total.update(each)
    return total


def _mean(uses: Sequence[Mapping[str, float]]) -> dict[str, float]:
    names = dict.fromkeys(name for use in uses for name in use)
    return {name: sum(use.get(name, 0.0) for use in uses) / len(uses) for name in names}
