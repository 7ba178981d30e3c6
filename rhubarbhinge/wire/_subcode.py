"""How a sub-query ended."""

from enum import IntEnum


class SubCode(IntEnum):
    """How a sub-query ended, as the relay saw it."""

    #: The searcher answered; the body is its answer.
    ANSWERED = 0
    #: The searcher shed it; not run.
    SHED = 1
    #: The searcher is leaving; not run.
    DRAINING = 2
    #: The searcher no longer holds the pinned version.
    VERSION_GONE = 3
    #: The searcher no longer holds the whole range.
    RANGE_MOVED = 4
    #: The deadline passed before an answer.
    DEADLINE = 5
    #: The answer was malformed, or was not that of this request.
    BROKEN = 6
    #: The relay's queue cannot serve it in time; not run.
    QUEUE_FULL = 7
    #: The message was meant for another incarnation of the relay, or another owner; not run.
    WRONG_RECEIVER = 8
    #: The call was cancelled.
    CANCELLED = 9
    #: The connection was refused or lost before an answer: the searcher is gone or starts anew.
    LOST = 10
