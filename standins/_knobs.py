"""Changing frozen knobs by a JSON object of some of their fields."""

from collections.abc import Mapping
from dataclasses import dataclass, fields, replace


@dataclass(frozen=True, slots=True)
class UnknownKnobs:
    """Names that no knob has.

    :param names: The names.
    """

    names: tuple[str, ...]


def changed(knobs: object, changes: Mapping[str, object]) -> object:
    """Set some knobs.

    :param knobs: A frozen dataclass of knobs.
    :param changes: New values by the fields' names.
    :returns: The new knobs, or :class:`UnknownKnobs`.
    """
    known = {item.name for item in fields(knobs)}
    unknown = tuple(sorted(set(changes) - known))
    if unknown:
        return UnknownKnobs(unknown)
    return replace(knobs, **changes)
