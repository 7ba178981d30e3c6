"""A metric with a single value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A metric with a single value.

    :param name: name of the metric, without the common prefix.
    :param help: short description.
    :param only_grows: whether it is a counter rather than a gauge.
    """

    name: str
    help: str
    only_grows: bool = False
