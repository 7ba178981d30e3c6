"""Which cells are measured, and in which order."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from tools.bench._scenario import SCENARIOS
from tools.bench._variant import AIMED_AT, VARIANTS


@dataclass(frozen=True, slots=True)
class Round:
    """One start of a variant's nodes, and the scenarios measured with them.

    :param repeat: number of the repetition.
    :param variant: the variant.
    :param scenarios: scenarios in order.
    """

    repeat: int
    variant: str
    scenarios: tuple[str, ...]


def rounds(
    scenarios: Collection[str],
    variants: Collection[str],
    every: bool,
    repeats: int,
    other_repeats: int,
    rng: random.Random,
    keep_order: bool = False,
) -> list[Round]:
    """Lay out a run: in each repetition all variants in a new order, so that drift meets all alike.

    :param scenarios: the scenarios wanted.
    :param variants: the variants wanted.
    :param every: whether to measure each variant in each scenario, not only where it matters.
    :param repeats: number of repetitions of the full policy and the baselines.
    :param other_repeats: number of repetitions of the other variants.
    :param rng: the random source.
    :param keep_order: whether scenarios keep the order in which they are given.
    :returns: the rounds in order.
    """
    found = []
    for repeat in range(repeats):
        present = [name for name in variants if name in AIMED_AT or repeat < other_repeats]
        for variant in _shuffled(present, rng):
            wanted = [name for name in scenarios if every or variant in SCENARIOS[name].variants]
            if wanted:
                order = wanted if keep_order else _mixed(wanted, rng)
                found.append(Round(repeat, variant, tuple(order)))
    return found


def unknown(names: Collection[str], known: Collection[str]) -> list[str]:
    """Find names that are not known.

    :param names: the names.
    :param known: the known ones.
    :returns: the unknown ones.
    """
    return [name for name in names if name not in known]


def cell_count(planned: Sequence[Round]) -> int:
    """Count the cells of a run, for one tenant.

    :param planned: the rounds.
    :returns: their number.
    """
    return sum(len(each.scenarios) for each in planned)


def _mixed(scenarios: Collection[str], rng: random.Random) -> list[str]:
    return sorted(_shuffled(scenarios, rng), key=lambda name: SCENARIOS[name].is_last)


def _shuffled(names: Collection[str], rng: random.Random) -> list[str]:
    return rng.sample(list(names), len(names))


ALL_VARIANTS = tuple(VARIANTS)
ALL_SCENARIOS = tuple(SCENARIOS)
