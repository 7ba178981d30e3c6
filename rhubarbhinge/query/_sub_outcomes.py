"""Classification of the outcomes of sub-queries without an answer."""

from rhubarbhinge.wire import SubCode

#: Reasons reported for missing ranges, by the outcome of the last attempt.
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
#: Outcomes after which a resend is no extra load: the sub-query was not run, or its searcher is
#: lost, whose load the other replicas take over in any case.
NOT_EXTRA_LOAD = frozenset(
    {
        SubCode.DRAINING,
        SubCode.VERSION_GONE,
        SubCode.RANGE_MOVED,
        SubCode.WRONG_RECEIVER,
        SubCode.LOST,
    }
)
#: Outcomes that count against the searcher in the replica scores.
FAILURES = frozenset(
    {SubCode.SHED, SubCode.BROKEN, SubCode.QUEUE_FULL, SubCode.DEADLINE, SubCode.LOST}
)
#: Outcomes after which the same replicas may answer a later retry.
RETRYABLE = FAILURES
