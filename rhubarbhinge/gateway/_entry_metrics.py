"""Metrics of an entry that are collected when they are requested."""

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.forward import ConnectionPool
from rhubarbhinge.gateway._capacity_delegation import ShardCounts
from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._forward_admission import ForwardAdmission
from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.gateway._link_usage import LinkUsage
from rhubarbhinge.gateway._slow_readers import MESSAGES, REPLIES, RESPONSES, SlowReaders
from rhubarbhinge.peers import Peers, SharedSource
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.retries import LoanRequests, RetryBudget
from rhubarbhinge.telemetry import EventLog, Metrics, ScalarMetric

CONNECTIONS = ScalarMetric("searcher_connections", "Connections to searchers, open or being opened")
WAITING = ScalarMetric("requests_waiting", "Requests that wait for a connection to a searcher")
UNREACHABLE = ScalarMetric("searchers_unreachable", "Searchers to which no connection can be made")
REPORTED_CHECKS = ScalarMetric(
    "reported_domain_checks_total", "Checks of failure domains that reports started", True
)
EVACUATED = ScalarMetric("evacuated_domains", "Failure domains whose searchers get no requests")
BAD_LOADS = ScalarMetric("bad_loads_total", "Replies of searchers whose load made no sense", True)
WINDOWS_REDUCED = ScalarMetric(
    "send_windows_reduced",
    "Searchers to which fewer requests are sent at once as they refused some",
)
REPORTS_APPLIED = ScalarMetric(
    "full_searcher_reports_total", "Reports of full searchers by other entries that were used", True
)
QUARANTINED = ScalarMetric("quarantined_requests", "Requests refused as they end searchers")
QUARANTINE_REFUSED = ScalarMetric(
    "quarantine_refused_total", "Attempts at quarantined requests that were refused", True
)
EXTRA_SENDS = ScalarMetric("extra_sends_total", "Hedges and retries that the budget granted", True)
EXTRA_SENDS_REFUSED = ScalarMetric(
    "extra_sends_refused_total", "Hedges and retries that it did not", True
)
EXTRA_SENDS_LEFT = ScalarMetric(
    "extra_sends_left", "Extra sends left for the service that has least"
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
STORE_CALLS = ScalarMetric(
    "platform_calls_total", "Reads and watches of the platform's store", True
)
READER_CALLS = ScalarMetric("reader_calls_total", "Waits for changes at another entry", True)
CONFIRMATION_LAPSES = ScalarMetric(
    "config_unconfirmed_total", "Times that the published state was not confirmed in time", True
)
STORE_ERA = ScalarMetric("store_era", "Era of the store that is known: its returns from copies")
UNUSABLE_ENTRIES = ScalarMetric(
    "unusable_entries", "Keys of the store that hold what can't be used"
)
UNUSABLE_ENTRIES_FOUND = ScalarMetric(
    "unusable_entries_total", "Such values read since the start", True
)
SHARDS_DELEGATED = ScalarMetric(
    "shards_delegated_total", "Shards of searches left to other entries", True
)
SHARDS_KEPT = ScalarMetric("shards_kept_total", "Shards of searches kept by this entry", True)
LINK_BYTES = {
    "callers": ScalarMetric("sent_to_callers_bytes_total", "Bytes of answers to callers", True),
    "searchers": ScalarMetric(
        "sent_to_searchers_bytes_total", "Bytes of requests to searchers", True
    ),
    "asks": ScalarMetric("sent_asks_bytes_total", "Bytes of asks to other entries", True),
    "parts": ScalarMetric("sent_parts_bytes_total", "Bytes of parts for other entries", True),
    "state": ScalarMetric("sent_state_bytes_total", "Bytes of published state for others", True),
}
"""Metrics of the bytes that this entry sends, by kind."""
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
SLOW_READERS_CLOSED = ScalarMetric(
    "slow_readers_closed_total", "Connections closed as their peers read too slowly", True
)
LINES_DROPPED = ScalarMetric(
    "log_lines_dropped_total", "Lines above the log's budget, or unread", True
)


class EntryMetrics:
    """Collects the metrics of the components of an entry.

    :param follower: the published state.
    :param peers: the other entries.
    :param source: source of the published state.
    :param fleet: the searchers.
    :param pool: connections to the searchers.
    :param budget: the retry budget.
    :param link_usage: usage of the VM's network link.
    :param quarantine: tracks requests that crash the searchers executing them.
    :param admission: admission control of forwarded requests.
    :param full_searchers: reports of searchers that refuse many requests.
    :param event_log: the buffered event log; None if events are written elsewhere.
    :param shard_counts: counts the shards delegated and kept.
    :param loans: requests for loans of retry budget.
    :param slow_readers: limits the bytes buffered for others.
    :param domain_checks: checks of failure domains.
    """

    def __init__(
        self,
        follower: Follower,
        peers: Peers,
        source: SharedSource,
        fleet: Fleet,
        pool: ConnectionPool,
        budget: RetryBudget,
        link_usage: LinkUsage,
        quarantine: Quarantine,
        admission: ForwardAdmission,
        full_searchers: FullSearchers,
        event_log: EventLog | None,
        shard_counts: ShardCounts,
        loans: LoanRequests,
        slow_readers: SlowReaders,
        domain_checks: DomainChecks,
    ):
        self._follower = follower
        self._peers = peers
        self._source = source
        self._fleet = fleet
        self._pool = pool
        self._budget = budget
        self._link_usage = link_usage
        self._quarantine = quarantine
        self._admission = admission
        self._full_searchers = full_searchers
        self._event_log = event_log
        self._shard_counts = shard_counts
        self._loans = loans
        self._slow_readers = slow_readers
        self._domain_checks = domain_checks

    def update(self, metrics: Metrics) -> None:
        """Set the current values.

        :param metrics: receives the values.
        """
        plan = self._follower.plan
        version = plan.version if plan else 0
        metrics.set_config("plan", version, self._follower.age_ms())
        metrics.set_members({"alive": len(self._peers.membership.all_live())})
        metrics.set_drains(sum(observed.is_leaving for observed in self._fleet.all()))
        metrics.set_scalar(UNREACHABLE, sum(observed.is_down for observed in self._fleet.all()))
        metrics.set_scalar(REPORTED_CHECKS, self._domain_checks.checks_by_report)
        metrics.set_scalar(EVACUATED, len(self._follower.evacuated))
        metrics.set_scalar(CONNECTIONS, self._pool.open_connections)
        metrics.set_scalar(BAD_LOADS, self._pool.bad_loads)
        metrics.set_scalar(WAITING, self._pool.waiting)
        metrics.set_scalar(EXTRA_SENDS, self._budget.granted)
        metrics.set_scalar(EXTRA_SENDS_REFUSED, self._budget.refused)
        metrics.set_scalar(EXTRA_SENDS_LEFT, self._budget.min_left())
        metrics.set_scalar(EXTRA_SENDS_LENT, self._budget.lent)
        metrics.set_scalar(EXTRA_SENDS_BORROWED, self._budget.borrowed)
        metrics.set_scalar(LOAN_REQUESTS_FAILED, self._loans.failed)
        metrics.set_scalar(STORE_CALLS, self._source.platform_calls)
        metrics.set_scalar(READER_CALLS, self._source.reader_calls)
        metrics.set_scalar(CONFIRMATION_LAPSES, self._follower.confirmation_lapses)
        metrics.set_scalar(STORE_ERA, self._follower.revision.era)
        metrics.set_scalar(UNUSABLE_ENTRIES, len(self._follower.unusable))
        metrics.set_scalar(UNUSABLE_ENTRIES_FOUND, self._follower.unusable.total_found)
        metrics.set_scalar(WINDOWS_REDUCED, self._fleet.reduced_windows)
        metrics.set_scalar(REPORTS_APPLIED, self._full_searchers.applied)
        metrics.set_scalar(QUARANTINED, self._quarantine.quarantined_count)
        metrics.set_scalar(QUARANTINE_REFUSED, self._quarantine.refused)
        metrics.set_scalar(SHARDS_DELEGATED, self._shard_counts.delegated)
        metrics.set_scalar(SHARDS_KEPT, self._shard_counts.kept)
        self._admission.update(metrics)
        for kind, buffered_bytes in self._slow_readers.bytes_by_kind().items():
            metrics.set_scalar(BUFFERED_BYTES[kind], buffered_bytes)
        metrics.set_scalar(SLOW_READERS_CLOSED, self._slow_readers.closed)
        for kind, total in self._link_usage.totals().items():
            metrics.set_scalar(LINK_BYTES[kind], total)
        if self._event_log is not None:
            metrics.set_scalar(LINES_DROPPED, self._event_log.dropped)
