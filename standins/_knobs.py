"""Changing frozen knobs by a JSON object of some of their fields."""

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from types import NoneType
from typing import TypeVar, get_args, get_origin

Knobs = TypeVar("Knobs")

_PROBABILITY_SUFFIX = "_probability"


@dataclass(frozen=True, slots=True)
class BadKnobs:
    """A change that was refused.

    :param unknown: Names that no knob has.
    :param wrong: Names of knobs whose new value is of another type or out of range.
    """

    unknown: tuple[str, ...]
    wrong: tuple[str, ...]

    def __str__(self) -> str:
        return f"unknown knobs: {list(self.unknown)}; wrong values: {list(self.wrong)}"


def changed(knobs: Knobs, changes: Mapping[str, object]) -> Knobs | BadKnobs:
    """Set some knobs.

    :param knobs: A frozen dataclass of knobs.
    :param changes: New values by the fields' names.
    :returns: The new knobs, or why the change was refused.
    """
    kinds = {item.name: item.type for item in fields(knobs)}
    unknown = tuple(sorted(set(changes) - set(kinds)))
    wrong = tuple(
        name
        for name, value in changes.items()
        if name in kinds and not _fits(name, kinds[name], value)
    )
    if unknown or wrong:
        return BadKnobs(unknown, wrong)
    return replace(knobs, **changes)


def _fits(name: str, kind: type, value: object) -> bool:
    if not _is_of(kind, value):
        return False
    if isinstance(value, (int, float)):
        most = 1.0 if name.endswith(_PROBABILITY_SUFFIX) else float("inf")
        return 0 <= value <= most
    return True


def _is_of(kind: type, value: object) -> bool:
    choices = get_args(kind)
    if NoneType in choices:
        return any(_is_of(choice, value) for choice in choices)
    if isinstance(value, bool):
        return kind is bool
    if kind is float:
        return isinstance(value, (int, float))
    return isinstance(value, get_origin(kind) or kind)
