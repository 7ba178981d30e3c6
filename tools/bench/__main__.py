"""The bench's command line."""

import random
import sys
from pathlib import Path

import fire

from standins.deployment import Size
from tools.bench._plan import ALL_SCENARIOS, ALL_VARIANTS, cell_count, rounds, unknown
from tools.bench._run import Options, Run
from tools.bench._traffic import TRAFFIC

FOLDER = "out/bench"


def bench(
    tenants: str | tuple[str, ...] = tuple(TRAFFIC),
    scenarios: str | tuple[str, ...] = ALL_SCENARIOS,
    variants: str | tuple[str, ...] = ALL_VARIANTS,
    every: bool = False,
    keep_order: bool = False,
    seconds: float = 1.25,
    repeats: int = 2,
    other_repeats: int = 1,
    scale: float = 1.0,
    vms_per_domain: int = 2,
    searcher_processes: int = 4,
    rate: float = 24.0,
    median_ms: float = 10.0,
    loaded_median_ms: float = 40.0,
    together: bool = True,
    capacity: float = 0.0,
    seed: int = 5,
    folder: str = FOLDER,
) -> None:
    """Measure the deployments under load and faults, and print tables.

    :param tenants: kingston, suva.
    :param scenarios: scenarios, separated by commas.
    :param variants: variants, separated by commas.
    :param every: measure each variant in each scenario, not only where it matters.
    :param keep_order: run the scenarios of a variant in the order given.
    :param seconds: measured time of a cell.
    :param repeats: repetitions of the full policy and the baselines, in interleaved order.
    :param other_repeats: repetitions of the variants with one other mechanism switched off.
    :param scale: factor on the number of searchers; 1 is the size of today.
    :param vms_per_domain: entry VMs in each failure domain.
    :param searcher_processes: processes that the searchers of a tenant are spread over.
    :param rate: queries a second in the scenarios without overload.
    :param median_ms: median of the searchers' service time in those scenarios.
    :param loaded_median_ms: the same under overload.
    :param together: measure the tenants side by side in the scenarios without overload.
    :param capacity: queries a second that count as the capacity; 0 to find it by a ramp.
    :param seed: seed of all random choices.
    :param folder: where raw results and plots go.
    """
    chosen_tenants = _names(tenants, tuple(TRAFFIC))
    chosen_scenarios = _names(scenarios, ALL_SCENARIOS)
    chosen_variants = _names(variants, ALL_VARIANTS)
    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    order_rng = random.Random(seed)
    planned = rounds(
        chosen_scenarios,
        chosen_variants,
        every,
        repeats,
        other_repeats,
        order_rng,
        keep_order,
    )
    size = Size(scale, vms_per_domain, searcher_processes)
    print(
        f"{cell_count(planned) * len(chosen_tenants)} cells of {seconds:g} s or more, "
        f"{repeats} repetitions ({min(repeats, other_repeats)} of variants that no aim is about), "
        f"scale {scale:g} of today's searchers, seed {seed}"
    )
    options = Options(
        chosen_tenants,
        chosen_scenarios,
        planned,
        seconds,
        repeats,
        size,
        rate,
        median_ms,
        loaded_median_ms,
        together,
        capacity,
        seed,
        target,
    )
    Run(options).carry_out()


def _names(given: str | tuple[str, ...], known: tuple[str, ...]) -> tuple[str, ...]:
    names = tuple(given.split(",")) if isinstance(given, str) else tuple(given)
    wrong = unknown(names, known)
    if wrong:
        sys.exit(f"unknown: {', '.join(wrong)}; known: {', '.join(known)}")
    return names


if __name__ == "__main__":
    fire.Fire(bench)
