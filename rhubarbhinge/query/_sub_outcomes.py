"""How sub-queries end without an answer, and what follows from each ending."""

from rhubarbhinge.wire import SubCode

#: Reasons in answers, by how the last attempt ended.
MISSING_REASONS = {
    SubCode.SHED: "shed",
    SubCode.DRAINING: "draining",
    SubCode.VERSION_GONE: "version-gone",
    SubCode.RANGE_MOVED: "range-moved",
    SubCode.DEADLINE: "deadline",
    SubCode.BROKEN: "broken",
    SubCode.QUEUE_FULL: "queue-full",
    SubCode.WRONG_RECEIVER: "no-replica",
    SubCode.CANCELLED: "deadline",
    SubCode.LOST: "lost",
}
#: Endings after which sending elsewhere is no extra load: nothing was run, or what ran is gone with
#: its searcher, whose work the other replicas take over anyway.
NOT_EXTRA_LOAD = frozenset(
    {
        SubCode.DRAINING,
        SubCode.VERSION_GONE,
        SubCode.RANGE_MOVED,
        SubCode.WRONG_RECEIVER,
        SubCode.LOST,
    }
)
#: Endings that speak against the searcher.
FAILURES = frozenset(
    {SubCode.SHED, SubCode.BROKEN, SubCode.QUEUE_FULL, SubCode.DEADLINE, SubCode.LOST}
)
#: Endings after which the same replicas may answer a little later.
RETRYABLE = FAILURES
