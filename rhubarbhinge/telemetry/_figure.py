"""A single number that a process shows."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A single number that a process shows.

    :param name: name of the metric, without the prefix of all.
    :param help: what it tells, in a few words.
    :param only_grows: whether it is a counter; else it is a gauge.
    """

    name: str
    help: str
    only_grows: bool = False
