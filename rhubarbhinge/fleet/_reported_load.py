"""Load reported by a searcher."""

from msgspec import Struct

NOMINAL_WORK_PERCENT = 100
"""Execution time is as usual."""


class ReportedLoad(Struct, frozen=True):
    """Load of a searcher at the time of its reply. It is out of date on arrival, and may be wrong.

    :param running: number of requests being executed.
    :param waiting: number of requests waiting for a slot.
    :param slots: number of requests executed concurrently.
    :param work_percent: current execution time on the host of the searcher, in percent of the usual
        one.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = NOMINAL_WORK_PERCENT
