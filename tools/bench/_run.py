"""A whole run."""

import random
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from standins.deployment import Size
from standins.fleet import Fleet
from tools.bench._arrivals import Stream
from tools.bench._capacity import Capacity, find_capacity
from tools.bench._cell import CellPlan, Key, run_cell, wait_healed
from tools.bench._generator import Generator
from tools.bench._plan import Round
from tools.bench._plot import plot
from tools.bench._report import ramp_line, report
from tools.bench._results import Results, rules_of
from tools.bench._scenario import SCENARIOS, Load
from tools.bench._table import number
from tools.bench._tenant import Tenant, start_all
from tools.bench._traffic import MOST_SHARE
from tools.bench._variant import FULL, VARIANTS

OVERLOAD_FACTOR = 1.5
"""Offered load over the measured capacity, as issue 5 asks."""

START_TRIES = 2
"""Starts of a variant before it is given up; a failed start is printed."""


@dataclass(frozen=True, slots=True)
class Options:
    """What to run.

    :param tenants: the tenants.
    :param scenarios: the scenarios.
    :param planned: the rounds in order.
    :param seconds: measured time of a cell.
    :param repeats: number of repetitions.
    :param size: size of each deployment.
    :param rate_per_s: queries a second in scenarios without overload.
    :param median_ms: median of the searchers' service time in those scenarios.
    :param loaded_median_ms: the same under overload, so long that searchers are the bottleneck.
    :param together: whether tenants are measured side by side in those scenarios.
    :param capacity_per_s: the capacity, instead of a ramp; 0 to find it.
    :param seed: of all random choices.
    :param folder: where results go.
    """

    tenants: tuple[str, ...]
    scenarios: tuple[str, ...]
    planned: Sequence[Round]
    seconds: float
    repeats: int
    size: Size
    rate_per_s: float
    median_ms: float
    loaded_median_ms: float
    together: bool
    capacity_per_s: float
    seed: int
    folder: Path


class Run:
    """Carries out a run.

    :param options: what to run.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._rngs = {name: random.Random(f"{options.seed}-{name}") for name in options.tenants}
        self._generators: dict[str, Generator] = {}
        self._results = Results(options.folder)
        self._capacity: dict[str, float] = {}
        self._started_s = time.monotonic()

    def carry_out(self) -> None:
        """Measure all cells, print the tables, write the plot."""
        options = self._options
        with ExitStack() as stack:
            work = stack.enter_context(tempfile.TemporaryDirectory(prefix="bench-"))
            tenants = [
                self._start(stack.enter_context(Fleet(_folder(work, name))), name)
                for name in options.tenants
            ]
            for name in options.tenants:
                self._generators[name] = stack.enter_context(Generator())
            self._find_capacities(tenants)
            for planned in options.planned:
                self._round(tenants, planned)
        print(report(tenants, options.scenarios, options.repeats, self._results))
        print(plot(tenants, options.scenarios, self._results, options.folder))
        print(f"raw results: {options.folder}; the run took {self._elapsed_s():.0f} s")

    def _start(self, fleet: Fleet, name: str) -> Tenant:
        options = self._options
        tenant = Tenant(fleet, name, options.size)
        self._results.know(tenant)
        self._say(
            f"{name}: {len(tenant.searchers)} searchers in "
            f"{len(tenant.searcher_processes())} processes, {len(tenant.deployment.vms)} VMs, "
            f"median service time {options.median_ms:g} ms, {options.loaded_median_ms:g} ms "
            f"under overload"
        )
        return tenant

    def _find_capacities(self, tenants: Sequence[Tenant]) -> None:
        options = self._options
        loads = {SCENARIOS[name].load for each in options.planned for name in each.scenarios}
        if loads <= {Load.MODERATE}:
            return
        if options.capacity_per_s:
            self._capacity = dict.fromkeys(options.tenants, options.capacity_per_s)
            return
        if not self._start_nodes(tenants, FULL):
            raise SystemExit("the deployments do not start: no capacity, no overload")
        for tenant in tenants:
            wait_healed(tenant)
            found = self._ramp(tenant)
            self._capacity[tenant.name] = found.per_s
            slots_per_s = tenant.slots_carry_per_s(self._options.loaded_median_ms)
            self._say(ramp_line(tenant.name, found, slots_per_s))
        _stop(tenants)

    def _ramp(self, tenant: Tenant) -> Capacity:
        options = self._options
        return find_capacity(
            tenant,
            self._generators[tenant.name],
            rules_of(tenant),
            options.loaded_median_ms,
            options.folder,
            self._rngs[tenant.name],
        )

    def _round(self, tenants: Sequence[Tenant], planned: Round) -> None:
        if not self._start_nodes(tenants, planned.variant):
            self._say(f"NOT RUN: {planned.variant}, repetition {planned.repeat}")
            return
        try:
            moderate = [name for name in planned.scenarios if _is_moderate(name)]
            with ThreadPoolExecutor(len(tenants) if self._options.together else 1) as pool:
                list(pool.map(lambda tenant: self._cells(tenant, planned, moderate), tenants))
            loaded = [name for name in planned.scenarios if not _is_moderate(name)]
            for tenant in tenants:
                self._cells(tenant, planned, loaded)
        except OSError as error:
            self._say(f"CUT SHORT: {planned.variant}, repetition {planned.repeat}: {error}")
            self._say_dead(tenants)
        finally:
            _stop(tenants)

    def _start_nodes(self, tenants: Sequence[Tenant], variant: str) -> bool:
        for _ in range(START_TRIES):
            try:
                start_all(tenants, VARIANTS[variant])
                return True
            except OSError as error:
                self._say(f"FAILED START of {variant}: {error}")
                self._say_dead(tenants)
                _stop(tenants)
        return False

    def _say_dead(self, tenants: Sequence[Tenant]) -> None:
        for tenant in tenants:
            for line in tenant.dead_nodes():
                self._say(f"DEAD NODE: {line}")

    def _cells(self, tenant: Tenant, planned: Round, scenarios: Sequence[str]) -> None:
        for scenario in scenarios:
            self._cell(tenant, planned, scenario)

    def _cell(self, tenant: Tenant, planned: Round, scenario: str) -> None:
        if not wait_healed(tenant):
            self._say(f"{tenant.name}: not all searchers ready before {scenario}; nodes restarted")
            tenant.stop_nodes()
            tenant.start_nodes(VARIANTS[planned.variant])
            wait_healed(tenant)
        key = Key(tenant.name, scenario, planned.variant, planned.repeat)
        options = self._options
        path = options.folder / f"{'-'.join(map(str, _parts(key)))}.jsonl"
        streams = self._streams(tenant, SCENARIOS[scenario].load)
        measured_s = options.seconds * SCENARIOS[scenario].weight
        median_ms = options.median_ms if _is_moderate(scenario) else options.loaded_median_ms
        plan = CellPlan(key, SCENARIOS[scenario], streams, measured_s, median_ms, path)
        cell = run_cell(tenant, self._generators[tenant.name], plan, self._rngs[tenant.name])
        found = self._results.add(cell)
        self._say_dead([tenant])
        self._say(
            f"{'/'.join(map(str, _parts(key)))}: p50 {number(found.p50_ms)} "
            f"p99 {number(found.p99_ms)} ms, coverage {number(found.coverage, 4)}, "
            f"{found.refusals} refused, {found.short} short, "
            f"machine {100 * found.busiest['machine']:.0f}% busy, "
            f"{100 * found.busiest['stolen']:.0f}% stolen, "
            f"generator late {number(found.lag_p99_ms)} ms"
        )

    def _streams(self, tenant: Tenant, load: Load) -> tuple[Stream, ...]:
        if load is Load.MODERATE:
            return tenant.traffic.streams(self._options.rate_per_s)
        total_per_s = OVERLOAD_FACTOR * self._capacity[tenant.name]
        if load is Load.OVERLOAD:
            return tenant.traffic.mix(total_per_s)
        return tenant.traffic.streams(MOST_SHARE * total_per_s)

    def _say(self, line: str) -> None:
        print(f"[{self._elapsed_s():5.0f} s] {line}", flush=True)

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s


def _is_moderate(scenario: str) -> bool:
    return SCENARIOS[scenario].load is Load.MODERATE


def _folder(work: str, name: str) -> Path:
    folder = Path(work, name)
    folder.mkdir()
    return folder


def _stop(tenants: Sequence[Tenant]) -> None:
    for tenant in tenants:
        tenant.stop_nodes()


def _parts(key: Key) -> tuple[str | int, ...]:
    return key.tenant, key.scenario, key.variant, key.repeat
