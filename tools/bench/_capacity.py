"""Finds how much a deployment carries."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from tools.bench._cell import Cell, CellPlan, Key, run_cell
from tools.bench._figures import ClassRule, figures, is_good
from tools.bench._generator import Generator
from tools.bench._scenario import Load, Scenario
from tools.bench._tenant import Tenant

RAMP_FACTOR = 1.3
"""Between two steps of the ramp."""

CARRIED_SHARE = 0.9
"""A rate is carried while good answers come at this share of it."""

FIRST_PER_S = 45.0
"""Queries a second in the first step, well below what any deployment here carries."""

TRIES = 2
"""Failures in a row at which a rate counts as not carried; one alone may be the machine's noise."""

MOST_STEPS = 14
_STEP_S = 1.5
_SETTLED_SHARE = 1 / 3
_RAMP = Scenario("ramp", (), Load.MODERATE)


@dataclass(frozen=True, slots=True)
class Step:
    """One step of the ramp.

    :param offered_per_s: requests a second, in the mix of the overload.
    :param good_per_s: good answers that came a second, once the step had settled.
    :param busiest: cores used by the busiest process of each group.
    :param machine_share: busy share of the machine.
    """

    offered_per_s: float
    good_per_s: float
    busiest: Mapping[str, float]
    machine_share: float


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the ramp found.

    :param per_s: the most good answers a second of any step.
    :param steps: the steps.
    """

    per_s: float
    steps: tuple[Step, ...]


def find_capacity(
    tenant: Tenant,
    generator: Generator,
    rules: Mapping[str, ClassRule],
    median_ms: float,
    folder: Path,
    rng: random.Random,
) -> Capacity:
    """Raise the rate until the deployment fails ``TRIES`` times in a row to carry it.

    :param tenant: the tenant; the nodes of the full policy run.
    :param generator: the load generator.
    :param rules: its classes.
    :param median_ms: median of the searchers' service time.
    :param folder: where the samples go.
    :param rng: the random source.
    :returns: the capacity.
    """
    steps: list[Step] = []
    rate_per_s = FIRST_PER_S
    failed = 0
    while len(steps) < MOST_STEPS and failed < TRIES:
        step = _measure(tenant, generator, rules, rate_per_s, median_ms, folder, rng)
        steps.append(step)
        if step.good_per_s < CARRIED_SHARE * rate_per_s:
            failed += 1
        else:
            failed = 0
            rate_per_s *= RAMP_FACTOR
    return Capacity(max(step.good_per_s for step in steps), tuple(steps))


def _measure(
    tenant: Tenant,
    generator: Generator,
    rules: Mapping[str, ClassRule],
    rate_per_s: float,
    median_ms: float,
    folder: Path,
    rng: random.Random,
) -> Step:
    key = Key(tenant.name, _RAMP.name, f"{rate_per_s:.0f}", 0)
    path = folder / f"{tenant.name}-ramp-{rate_per_s:.0f}.jsonl"
    streams = tenant.traffic.mix(rate_per_s)
    cell = run_cell(tenant, generator, CellPlan(key, _RAMP, streams, _STEP_S, median_ms, path), rng)
    found = figures([cell], rules, tenant.traffic.most)
    good_per_s = completions_per_s(cell, rules)
    return Step(rate_per_s, good_per_s, found.busiest, found.busiest["machine"])


def completions_per_s(cell: Cell, rules: Mapping[str, ClassRule]) -> float:
    """Give the rate at which good answers come while the load is on.

    The rate of arrivals would hide a growing queue, since the least important class can wait.

    :param cell: a cell.
    :param rules: the classes.
    :returns: good answers a second, the first third of the time left out.
    """
    until_ms = cell.measured_s * 1000
    from_ms = _SETTLED_SHARE * until_ms
    good = [sample for sample in cell.samples if is_good(sample, rules[sample.class_name])]
    ends_ms = [sample.at_ms + sample.latency_ms for sample in good]
    return sum(from_ms <= end_ms < until_ms for end_ms in ends_ms) / (until_ms - from_ms) * 1000
