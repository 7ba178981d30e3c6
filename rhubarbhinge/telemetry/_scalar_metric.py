"""A metric with a single value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScalarMetric:
    """A metric with a single value.

    :param name: name of the metric, without the common prefix.
    :param help: short description.
    :param is_counter: whether it is a counter rather than a gauge.
    """

    name: str
    help: str
    is_counter: bool = False
