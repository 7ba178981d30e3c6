"""Metrics of the parts of an entry that act under overload and on uneven capacity."""

from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.gateway._capacity_delegation import ShardCounts
from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._forward_admission import ForwardAdmission
from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.gateway._slow_readers import MESSAGES, REPLIES, RESPONSES, SlowReaders
from rhubarbhinge.retries import LoanRequests, RetryBudget
from rhubarbhinge.telemetry import Metrics, ScalarMetric
from rhubarbhinge.web import HttpServer

REPORTED_CHECKS = ScalarMetric(
    "reported_domain_checks_total", "Checks of failure domains that reports started", True
)
WINDOWS_REDUCED = ScalarMetric(
    "send_windows_reduced",
    "Searchers to which fewer requests are sent at once as they refused some",
)
REPORTS_APPLIED = ScalarMetric(
    "full_searcher_reports_total", "Reports of full searchers by other entries that were used", True
)
EXTRA_SENDS_LENT = ScalarMetric(
    "extra_sends_lent_total", "Extra sends that this entry lent to others", True
)
EXTRA_SENDS_BORROWED = ScalarMetric(
    "extra_sends_borrowed_total", "Extra sends that others lent to this entry", True
)
LOAN_REQUESTS_FAILED = ScalarMetric(
    "retry_loan_requests_failed_total", "Requests for extra sends that brought none", True
)
SHARDS_DELEGATED = ScalarMetric(
    "shards_delegated_total", "Shards of searches left to other entries", True
)
SHARDS_KEPT = ScalarMetric("shards_kept_total", "Shards of searches kept by this entry", True)
BUFFERED_BYTES = {
    RESPONSES: ScalarMetric(
        "buffered_responses_bytes", "Bytes of responses that callers have not taken"
    ),
    REPLIES: ScalarMetric(
        "buffered_replies_bytes", "Bytes of incomplete replies, and of requests to searchers"
    ),
    MESSAGES: ScalarMetric(
        "buffered_messages_bytes", "Bytes of messages that other entries have not taken"
    ),
}
"""Metrics of the bytes that are buffered for others, by kind."""
BUFFERED_REQUESTS = ScalarMetric(
    "buffered_requests_bytes", "Bytes of bodies of requests that are received or in progress"
)
SLOW_READERS_CLOSED = ScalarMetric(
    "slow_readers_closed_total", "Connections closed as their peers read too slowly", True
)


def overload_metrics(
    fleet: Fleet,
    budget: RetryBudget,
    loans: LoanRequests,
    admission: ForwardAdmission,
    domain_checks: DomainChecks,
    full_searchers: FullSearchers,
    shard_counts: ShardCounts,
    slow_readers: SlowReaders,
    callers: HttpServer,
) -> Callable[[Metrics], None]:
    """Create a function that sets the current values of these metrics.

    :param fleet: the searchers.
    :param budget: the retry budget.
    :param loans: requests for loans of retry budget.
    :param admission: admission control of forwarded requests.
    :param domain_checks: checks of failure domains.
    :param full_searchers: reports of searchers that refuse many requests.
    :param shard_counts: counts the shards delegated and kept.
    :param slow_readers: limits the bytes buffered for others.
    :param callers: the connections of callers.
    :returns: the function.
    """

    def update(metrics: Metrics) -> None:
        metrics.set_scalar(REPORTED_CHECKS, domain_checks.checks_by_report)
        metrics.set_scalar(EXTRA_SENDS_LENT, budget.lent)
        metrics.set_scalar(EXTRA_SENDS_BORROWED, budget.borrowed)
        metrics.set_scalar(LOAN_REQUESTS_FAILED, loans.failed)
        metrics.set_scalar(WINDOWS_REDUCED, fleet.reduced_windows)
        metrics.set_scalar(REPORTS_APPLIED, full_searchers.applied)
        metrics.set_scalar(SHARDS_DELEGATED, shard_counts.delegated)
        metrics.set_scalar(SHARDS_KEPT, shard_counts.kept)
        for kind, buffered_bytes in slow_readers.bytes_by_kind().items():
            metrics.set_scalar(BUFFERED_BYTES[kind], buffered_bytes)
        metrics.set_scalar(BUFFERED_REQUESTS, callers.held_bytes)
        metrics.set_scalar(SLOW_READERS_CLOSED, slow_readers.closed)
        admission.update(metrics)

    return update
