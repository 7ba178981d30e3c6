"""What a run prints at its end."""

from collections.abc import Sequence

from tools.bench._aims import rows, verdicts
from tools.bench._capacity import Capacity
from tools.bench._results import Results
from tools.bench._table import aligned, results_table, usage_table
from tools.bench._tenant import Tenant
from tools.bench._variant import VARIANTS

NOTES = """\
Latency runs from the intended arrival to the answer's last byte, of the most important class's
requests that were not refused. In brackets: least and most of the repetitions. short: not refused,
and no good answer. extra load: hedges and retries over base sub-queries, as the entries count them;
seen: sub-queries that arrived at the searchers over base, less 1. CPU: cores used by each group
of processes, in brackets by its busiest process; for the machine, all users' processes and the
busy share; stolen: cores that a virtual machine was not given, and their share."""

LATE_GENERATOR_MS = 20.0
"""A cell whose generator was later than this at the 99th percentile is called disturbed."""


def report(
    tenants: Sequence[Tenant], scenarios: Sequence[str], repeats: int, results: Results
) -> str:
    """Write all tables.

    :param tenants: the tenants measured.
    :param scenarios: the scenarios measured.
    :param repeats: number of repetitions.
    :param results: what was measured.
    :returns: the text.
    """
    parts = [NOTES]
    for tenant in tenants:
        parts += [_scenario(tenant, scenario, results) for scenario in scenarios]
        parts.append(_aims(tenant, repeats, results))
        parts.append(_disturbed(tenant, scenarios, results))
    return "\n\n".join(part for part in parts if part)


def ramp_line(tenant: str, capacity: Capacity, slots_per_s: float) -> str:
    """Describe a ramp.

    :param tenant: the tenant.
    :param capacity: what it found.
    :param slots_per_s: the rate at which all slots would be busy.
    :returns: one line.
    """
    steps = ", ".join(f"{each.offered_per_s:.0f}:{each.good_per_s:.0f}" for each in capacity.steps)
    last = capacity.steps[-1]
    busiest = ", ".join(
        f"{name} {cores:.2f}" for name, cores in last.busiest.items() if name != "machine"
    )
    return (
        f"{tenant}: capacity {capacity.per_s:.0f} queries/s, slots alone would carry "
        f"{slots_per_s:.0f} (offered:good a second {steps}); "
        f"last step: machine {100 * last.machine_share:.0f}% busy, busiest process of {busiest}"
    )


def _scenario(tenant: Tenant, scenario: str, results: Results) -> str:
    names = results.variants(tenant.name, scenario, tuple(VARIANTS))
    if not names:
        return ""
    pooled = {name: results.pooled(tenant.name, scenario, name) for name in names}
    repeats = {name: results.repeats(tenant.name, scenario, name) for name in names}
    table = results_table(pooled, repeats, tenant.traffic.most)
    return f"{tenant.name}, {scenario}\n{table}\n\nCPU\n{usage_table(pooled)}"


def _disturbed(tenant: Tenant, scenarios: Sequence[str], results: Results) -> str:
    cells = [
        f"{scenario}/{variant}/{repeat} ({found.lag_p99_ms:.0f} ms)"
        for scenario in scenarios
        for variant in results.variants(tenant.name, scenario, tuple(VARIANTS))
        for repeat, found in enumerate(results.repeats(tenant.name, scenario, variant))
        if (found.lag_p99_ms or 0.0) > LATE_GENERATOR_MS
    ]
    if not cells:
        return f"{tenant.name}: the generator was never late by more than {LATE_GENERATOR_MS:g} ms"
    return (
        f"{tenant.name}: DISTURBED, the machine held up the generator itself for more than "
        f"{LATE_GENERATOR_MS:g} ms at p99, so that these cells tell little: {', '.join(cells)}"
    )


def _aims(tenant: Tenant, repeats: int, results: Results) -> str:
    def pooled(scenario: str, variant: str):
        return results.pooled(tenant.name, scenario, variant)

    def of_repeat(repeat: int):
        return lambda scenario, variant: results.repeat(tenant.name, scenario, variant, repeat)

    found = verdicts(
        tenant.name, tenant.traffic.most, pooled, [of_repeat(each) for each in range(repeats)]
    )
    return f"{tenant.name}, aims\n{aligned(rows(found))}"
