"""The aims of issue 5, as ratios of one run."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tools.bench._figures import Figures
from tools.bench._percentiles import ratio
from tools.bench._variant import FULL, NO_HEDGING, PLAIN

FiguresOf = Callable[[str, str], Figures | None]
"""Gives the figures of a scenario and variant, None where they were not measured."""

MET = "met"
MISSED = "missed"
NOT_RUN = "not run"


@dataclass(frozen=True, slots=True)
class Aim:
    """One aim.

    :param text: what is compared.
    :param bound: the bound.
    :param at_most: whether the value has to stay at or below the bound, else at or above it.
    :param value: works out the value, None where a part of it was not measured.
    :param tenants: whom it is set for.
    """

    text: str
    bound: float
    at_most: bool
    value: Callable[[FiguresOf], float | None]
    tenants: tuple[str, ...] = ("kingston", "suva")


@dataclass(frozen=True, slots=True)
class Verdict:
    """How an aim came out.

    :param aim: the aim.
    :param value: over all repetitions together.
    :param repeats: of each repetition.
    """

    aim: Aim
    value: float | None
    repeats: tuple[float | None, ...]

    @property
    def word(self) -> str:
        """``met``, ``missed`` or ``not run``."""
        if self.value is None:
            return NOT_RUN
        aim = self.aim
        met = self.value <= aim.bound if aim.at_most else self.value >= aim.bound
        return MET if met else MISSED


def aims(most: str) -> Sequence[Aim]:
    """Give the aims.

    :param most: the most important class.
    :returns: the aims.
    """
    return (
        Aim(
            "straggler: p99 of full over no-hedging",
            1 / 3,
            True,
            _p99_ratio(("straggler", FULL), ("straggler", NO_HEDGING)),
        ),
        Aim(
            "straggler: p99 of full over plain (random replica, no hedge)",
            1 / 3,
            True,
            _p99_ratio(("straggler", FULL), ("straggler", PLAIN)),
        ),
        Aim("straggler: extra load of full", 0.05, True, _extra_load("straggler")),
        Aim(
            "p99 of full, straggler over calm",
            1.3,
            True,
            _p99_ratio(("straggler", FULL), ("calm", FULL)),
        ),
        Aim(
            f"overload: goodput of {most} over uncontended",
            0.95,
            False,
            _goodput_ratio(most),
        ),
        Aim("overload: median ms until a refusal is answered", 10.0, True, _refusal_p50),
        Aim("overload: amplification", 1.05, True, _amplification),
        Aim(
            "lost-replicas: mean coverage of full",
            0.999,
            False,
            _figure("lost-replicas", lambda found: found.coverage),
            ("suva",),
        ),
    )


def verdicts(
    tenant: str, most: str, pooled: FiguresOf, repeats: Sequence[FiguresOf]
) -> list[Verdict]:
    """Judge the aims of a tenant.

    :param tenant: the tenant.
    :param most: its most important class.
    :param pooled: figures over all repetitions.
    :param repeats: figures of each repetition.
    :returns: the verdicts.
    """
    return [
        Verdict(aim, aim.value(pooled), tuple(aim.value(each) for each in repeats))
        for aim in aims(most)
        if tenant in aim.tenants
    ]


def rows(found: Sequence[Verdict]) -> list[tuple[str, ...]]:
    """Write verdicts as rows of a table.

    :param found: the verdicts.
    :returns: the rows, the head first.
    """
    table = [("aim", "bound", "measured", "by repetition", "verdict")]
    for verdict in found:
        aim = verdict.aim
        bound = f"{'<=' if aim.at_most else '>='} {aim.bound:.3g}"
        repeats = " ".join(_text(value) for value in verdict.repeats)
        table.append((aim.text, bound, _text(verdict.value), repeats, verdict.word))
    return table


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:.4g}"


def _p99_ratio(part: tuple[str, str], whole: tuple[str, str]) -> Callable:
    def value(figures_of: FiguresOf) -> float | None:
        first, second = figures_of(*part), figures_of(*whole)
        if first is None or second is None:
            return None
        return ratio(first.p99_ms, second.p99_ms)

    return value


def _goodput_ratio(most: str) -> Callable:
    def value(figures_of: FiguresOf) -> float | None:
        loaded, alone = figures_of("overload", FULL), figures_of("uncontended", FULL)
        if loaded is None or alone is None:
            return None
        return ratio(loaded.goodput_per_s.get(most, 0.0), alone.goodput_per_s.get(most))

    return value


def _figure(scenario: str, pick: Callable[[Figures], float | None]) -> Callable:
    def value(figures_of: FiguresOf) -> float | None:
        found = figures_of(scenario, FULL)
        return None if found is None else pick(found)

    return value


def _extra_load(scenario: str) -> Callable:
    """Take the larger of what entries sent and what searchers saw."""
    return _figure(scenario, _larger_load)


def _larger_load(found: Figures) -> float | None:
    if found.extra_load is None or found.seen_load is None:
        return None
    return max(found.extra_load, found.seen_load)


_refusal_p50 = _figure("overload", lambda found: found.refusal_p50_ms)


def _amplification(figures_of: FiguresOf) -> float | None:
    extra = _extra_load("overload")(figures_of)
    return None if extra is None else 1.0 + extra
