"""One cell: a variant measured in a scenario for some seconds."""

import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from rhubarbhinge.wire import UpstreamState
from standins.deployment import wait_for
from standins.history import monotonic_ms
from tools.bench._arrivals import Stream, arrivals
from tools.bench._counts import Counts
from tools.bench._faults import heal
from tools.bench._generator import Generator
from tools.bench._sample import Sample, read_samples
from tools.bench._scenario import Scenario
from tools.bench._tenant import Tenant
from tools.bench._usage import Use, read_usage, usage

TIMEOUT_MS = 5_000.0
"""Longest wait for an answer; above the deadlines of all classes but ``audit``, see Traffic."""

_DURING_SHARE = 0.25
_COUNT_WAIT_S = 0.2
_HEAL_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Key:
    """Which cell.

    :param tenant: the tenant.
    :param scenario: the scenario.
    :param variant: the variant.
    :param repeat: number of the repetition.
    """

    tenant: str
    scenario: str
    variant: str
    repeat: int


@dataclass(frozen=True, slots=True)
class Cell:
    """What was measured in one cell.

    :param key: which cell.
    :param measured_s: the measured time.
    :param samples: requests that were meant to arrive in the measured time.
    :param counts: sub-queries by kind; warming up is in them.
    :param uses: CPU use by group of processes.
    """

    key: Key
    measured_s: float
    samples: Sequence[Sample]
    counts: Mapping[str, float]
    uses: Mapping[str, Use]


@dataclass(frozen=True, slots=True)
class CellPlan:
    """What to measure in one cell.

    :param key: which cell.
    :param scenario: the scenario.
    :param streams: the requests.
    :param measured_s: the measured time.
    :param median_ms: median of the searchers' service time.
    :param path: where the samples go.
    """

    key: Key
    scenario: Scenario
    streams: Sequence[Stream]
    measured_s: float
    median_ms: float
    path: Path


def run_cell(tenant: Tenant, generator: Generator, plan: CellPlan, rng: random.Random) -> Cell:
    """Measure one cell; the variant's nodes run already.

    :param tenant: the tenant.
    :param generator: the load generator.
    :param plan: what to measure.
    :param rng: draws arrivals and the searchers at fault.
    :returns: what was measured.
    """
    planned = arrivals(plan.streams, -plan.scenario.warm_ms, plan.measured_s * 1000, rng)
    tenant.serve_in(plan.median_ms)
    plan.scenario.before(tenant, rng)
    counts = Counts(tenant)
    groups = {**tenant.pids(), "generator": [generator.pid]}
    start_ms = generator.begin(tenant.entry_ports(), plan.streams, planned, TIMEOUT_MS, plan.path)
    _sleep_until(start_ms)
    before = read_usage(groups)
    _sleep_until(start_ms + _DURING_SHARE * plan.measured_s * 1000)
    counts.add()
    plan.scenario.during(tenant, rng)
    _sleep_until(start_ms + plan.measured_s * 1000)
    uses = usage(before, read_usage(groups))
    generator.wait()
    time.sleep(_COUNT_WAIT_S)
    counts.add()
    heal(tenant)
    samples = [sample for sample in read_samples(plan.path) if sample.at_ms >= 0]
    return Cell(plan.key, plan.measured_s, samples, counts.totals(), uses)


def wait_healed(tenant: Tenant) -> bool:
    """Wait until the relays see all searchers ready again.

    :param tenant: the tenant.
    :returns: whether they did in time.
    """
    try:
        wait_for(lambda: _all_ready(tenant), "searchers ready", _HEAL_WAIT_S)
    except TimeoutError:
        return False
    return True


def _all_ready(tenant: Tenant) -> bool:
    for vm in tenant.deployment.vms:
        if "relay" in vm.nodes:
            states = tenant.deployment.status(vm, "relay")["states"]
            if set(states) != {UpstreamState.READY.name.lower()}:
                return False
    return True


def _sleep_until(at_ms: float) -> None:
    time.sleep(max(0.0, (at_ms - monotonic_ms()) / 1000))
