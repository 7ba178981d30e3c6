"""Tables and plots of trials."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from rhubarbhinge.telemetry import LogHistogram
from tools.load._sample import Sample
from tools.load._site import RequestClass, Site

HEAD = f"{'trial':40}{'class':9}{'asked':>7}{'in time':>9}{'late':>7}{'failed':>8}{'thin':>7}"
HEAD += f"{'p50 ms':>9}{'p99 ms':>9}{'p999 ms':>9}"


@dataclass(frozen=True, slots=True)
class Row:
    """The figures of one kind of request in one trial.

    :param trial: name of the trial.
    :param class_name: the kind.
    :param asked: how many requests came.
    :param in_time: how many were answered within the objective.
    :param late: how many after it.
    :param thin: how many answers left shards out.
    :param delays: the delays of all answers, in ms.
    """

    trial: str
    class_name: str
    asked: int
    in_time: int
    late: int
    thin: int
    delays: LogHistogram

    def __str__(self) -> str:
        failed = self.asked - self.in_time - self.late
        quantiles = "".join(f"{self.delays.quantile(q):9.1f}" for q in (0.5, 0.99, 0.999))
        return (
            f"{self.trial:40}{self.class_name:9}{self.asked:7}{self.in_time:9}{self.late:7}"
            f"{failed:8}{self.thin:7}{quantiles}"
        )


def rows(trial: str, site: Site, samples: Sequence[Sample]) -> list[Row]:
    """Sum up a trial.

    :param trial: its name.
    :param site: the deployment.
    :param samples: what came of its requests.
    :returns: a row for each kind of request.
    """
    return [_row(trial, each, samples) for each in site.classes]


def _row(trial: str, each: RequestClass, samples: Sequence[Sample]) -> Row:
    own = [sample for sample in samples if sample.class_name == each.name]
    answered = [sample for sample in own if sample.ok]
    delays = LogHistogram()
    for sample in answered:
        delays.observe(sample.took_ms)
    in_time = sum(sample.took_ms <= each.objective_ms for sample in answered)
    thin = sum(sample.missing > 0 for sample in answered)
    return Row(trial, each.name, len(own), in_time, len(answered) - in_time, thin, delays)


def plot(site: Site, found: Sequence[Row], folder: Path) -> Path | None:
    """Draw p50 and p99 of all trials of a deployment.

    :param site: the deployment.
    :param found: the rows of its trials.
    :param folder: where the picture goes.
    :returns: the picture; None when matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        return None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(site.classes), figsize=(15, 5), layout="constrained")
    for axis, each in zip(axes, site.classes, strict=True):
        own = [row for row in found if row.class_name == each.name]
        names = [row.trial for row in own]
        axis.barh(names, [row.delays.quantile(0.99) for row in own], label="p99")
        axis.barh(names, [row.delays.quantile(0.5) for row in own], label="p50")
        axis.axvline(each.objective_ms, color="black", linestyle=":", label="objective")
        axis.set_title(f"{site.name}, {each.name}")
        axis.set_xlabel("ms")
        axis.invert_yaxis()
    axes[-1].legend(loc="lower right")
    path = folder / f"{site.name}.png"
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path
