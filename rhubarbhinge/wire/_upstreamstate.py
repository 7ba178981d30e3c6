"""What a relay knows of a searcher."""

from enum import IntEnum


class UpstreamState(IntEnum):
    """A searcher's state as its owning relay sees it."""

    #: Not heard from yet.
    UNKNOWN = 0
    #: Takes new work.
    READY = 1
    #: Takes a little new work after a start.
    WARMING = 2
    #: Takes no new work.
    DRAINING = 3
    #: Does not answer.
    DOWN = 4
