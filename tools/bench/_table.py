"""Tables of plain text."""

from collections.abc import Mapping, Sequence

from tools.bench._figures import Figures

_GROUPS = ("entries", "relays", "searchers", "generator", "machine", "stolen")
_HEAD = (
    "variant",
    "requests",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "coverage mean/least",
    "short",
    "extra load",
    "seen",
    "refused",
    "refusal p50/p99 ms",
    "goodput/s",
)
_CPU_HEAD = ("variant", "lag p99 ms", *(f"{name} (busiest)" for name in _GROUPS))


def results_table(
    pooled: Mapping[str, Figures], repeats: Mapping[str, Sequence[Figures]], most: str
) -> str:
    """Show the variants of one scenario side by side.

    :param pooled: figures over all repetitions, by variant.
    :param repeats: figures of each repetition, by variant; least and most stand in brackets.
    :param most: the most important class, shown first in the goodput.
    :returns: the table.
    """
    rows = [_row(name, pooled[name], repeats[name], most) for name in pooled]
    return aligned([_HEAD, *rows])


def usage_table(pooled: Mapping[str, Figures]) -> str:
    """Show the CPU use of one scenario.

    :param pooled: figures over all repetitions, by variant.
    :returns: the table; ``machine`` and ``stolen`` have their share of all cores in brackets.
    """
    rows = []
    for name, found in pooled.items():
        uses = [
            f"{found.cores.get(group, 0.0):.2f} ({found.busiest.get(group, 0.0):.2f})"
            for group in _GROUPS
        ]
        rows.append((name, number(found.lag_p99_ms), *uses))
    return aligned([_CPU_HEAD, *rows])


def aligned(rows: Sequence[Sequence[str]]) -> str:
    """Align columns: the first to the left, the others to the right.

    :param rows: cells of each row, all of one length.
    :returns: the text.
    """
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = []
    for first, *rest in rows:
        cells = [first.ljust(widths[0])]
        cells += [cell.rjust(width) for cell, width in zip(rest, widths[1:], strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def number(value: float | None, digits: int = 1) -> str:
    """Write a number.

    :param value: the number.
    :param digits: digits after the point.
    :returns: the text, ``-`` for None.
    """
    return "-" if value is None else f"{value:.{digits}f}"


def _row(name: str, found: Figures, repeats: Sequence[Figures], most: str) -> tuple[str, ...]:
    goodput = sorted(found.goodput_per_s.items(), key=lambda item: item[0] != most)
    return (
        name,
        str(found.requests),
        _spread(found.p50_ms, [each.p50_ms for each in repeats]),
        _spread(found.p99_ms, [each.p99_ms for each in repeats]),
        number(found.p999_ms),
        f"{_floored(found.coverage)}/{_floored(found.least_coverage)}",
        str(found.short),
        _percent(found.extra_load),
        _percent(found.seen_load),
        str(found.refusals),
        f"{number(found.refusal_p50_ms)}/{number(found.refusal_p99_ms)}",
        " ".join(f"{class_name} {per_s:.1f}" for class_name, per_s in goodput),
    )


def _spread(value: float | None, repeats: Sequence[float | None]) -> str:
    known = [each for each in repeats if each is not None]
    if len(known) < 2:
        return number(value)
    return f"{number(value)} ({number(min(known))}-{number(max(known))})"


def _floored(share: float | None) -> str:
    """Write a share rounded down, so that only a whole one reads as 1."""
    return "-" if share is None else f"{int(share * 10_000) / 10_000:.4f}"


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{100 * share:.1f}%"
