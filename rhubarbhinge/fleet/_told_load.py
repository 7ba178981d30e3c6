"""How busy a searcher says that it is."""

from msgspec import Struct

USUAL_WORK_PERCENT = 100
"""Work takes as long as usual."""


class ToldLoad(Struct, frozen=True):
    """How busy a searcher was when it replied; it lags, and may mislead.

    :param running: requests that it executes.
    :param waiting: requests that wait for a slot.
    :param slots: requests that it executes at a time.
    :param work_percent: how long work takes on its host at that moment; 100 is as usual.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_WORK_PERCENT
