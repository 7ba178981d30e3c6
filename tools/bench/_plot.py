"""Plots p99 and goodput of the variants, when matplotlib is installed."""

from collections.abc import Sequence
from pathlib import Path

from tools.bench._results import Results
from tools.bench._tenant import Tenant
from tools.bench._variant import VARIANTS

SKIPPED = "no plot: matplotlib is not installed (the `plot` extra)"


def plot(
    tenants: Sequence[Tenant], scenarios: Sequence[str], results: Results, folder: Path
) -> str:
    """Draw one file for each tenant: p50 and p99 of the variants in each scenario.

    :param tenants: the tenants measured.
    :param scenarios: the scenarios measured.
    :param results: what was measured.
    :param folder: where the files go.
    :returns: a line that names the files, or says why there are none.
    """
    try:
        import matplotlib
    except ImportError:
        return SKIPPED
    matplotlib.use("Agg")
    return "plots: " + ", ".join(
        str(_plot_tenant(tenant, scenarios, results, folder)) for tenant in tenants
    )


def _plot_tenant(tenant: Tenant, scenarios: Sequence[str], results: Results, folder: Path) -> Path:
    from matplotlib import pyplot

    shown = [name for name in scenarios if results.variants(tenant.name, name, tuple(VARIANTS))]
    figure, axes = pyplot.subplots(
        len(shown), 1, figsize=(9, 2.4 * len(shown)), squeeze=False, layout="constrained"
    )
    for axis, scenario in zip(axes[:, 0], shown, strict=True):
        _draw(axis, tenant.name, scenario, results)
    path = folder / f"{tenant.name}.png"
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def _draw(axis, tenant: str, scenario: str, results: Results) -> None:
    names = results.variants(tenant, scenario, tuple(VARIANTS))
    for place, name in enumerate(names):
        found = results.pooled(tenant, scenario, name)
        repeats = [each.p99_ms or 0.0 for each in results.repeats(tenant, scenario, name)]
        p99_ms = found.p99_ms or 0.0
        spread = [[max(0.0, p99_ms - min(repeats))], [max(0.0, max(repeats) - p99_ms)]]
        axis.barh(place, p99_ms, color="tab:blue", xerr=spread, label="p99")
        axis.barh(place, found.p50_ms or 0.0, color="tab:orange", label="p50")
    axis.set_yticks(range(len(names)), names)
    axis.invert_yaxis()
    axis.set_xlabel("ms")
    axis.set_title(f"{tenant}, {scenario}: p50 and p99, least and most of the repetitions")
    handles, labels = axis.get_legend_handles_labels()
    axis.legend(handles[:2], labels[:2], loc="lower right")
