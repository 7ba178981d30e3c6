"""Metrics of an entry that are collected when they are requested."""

from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.forward import ConnectionPool
from rhubarbhinge.gateway._link_usage import LinkUsage
from rhubarbhinge.peers import Peers, SharedSource
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.retries import RetryBudget
from rhubarbhinge.telemetry import EventLog, Metrics, ScalarMetric

CONNECTIONS = ScalarMetric("searcher_connections", "Connections to searchers, open or being opened")
WAITING = ScalarMetric("requests_waiting", "Requests that wait for a connection to a searcher")
UNREACHABLE = ScalarMetric("searchers_unreachable", "Searchers to which no connection can be made")
EVACUATED = ScalarMetric("evacuated_domains", "Failure domains whose searchers get no requests")
BAD_LOADS = ScalarMetric("bad_loads_total", "Replies of searchers whose load made no sense", True)
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
    :param event_log: the buffered event log; None if events are written elsewhere.
    :param update_overload: sets the metrics of the parts that act under overload.
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
        event_log: EventLog | None,
        update_overload: Callable[[Metrics], None],
    ):
        self._follower = follower
        self._peers = peers
        self._source = source
        self._fleet = fleet
        self._pool = pool
        self._budget = budget
        self._link_usage = link_usage
        self._quarantine = quarantine
        self._event_log = event_log
        self._update_overload = update_overload

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
        metrics.set_scalar(EVACUATED, len(self._follower.evacuated))
        metrics.set_scalar(CONNECTIONS, self._pool.open_connections)
        metrics.set_scalar(BAD_LOADS, self._pool.bad_loads)
        metrics.set_scalar(WAITING, self._pool.waiting)
        metrics.set_scalar(EXTRA_SENDS, self._budget.granted)
        metrics.set_scalar(EXTRA_SENDS_REFUSED, self._budget.refused)
        metrics.set_scalar(EXTRA_SENDS_LEFT, self._budget.min_left())
        metrics.set_scalar(STORE_CALLS, self._source.platform_calls)
        metrics.set_scalar(READER_CALLS, self._source.reader_calls)
        metrics.set_scalar(CONFIRMATION_LAPSES, self._follower.confirmation_lapses)
        metrics.set_scalar(STORE_ERA, self._follower.revision.era)
        metrics.set_scalar(UNUSABLE_ENTRIES, len(self._follower.unusable))
        metrics.set_scalar(UNUSABLE_ENTRIES_FOUND, self._follower.unusable.total_found)
        metrics.set_scalar(QUARANTINED, self._quarantine.quarantined_count)
        metrics.set_scalar(QUARANTINE_REFUSED, self._quarantine.refused)
        self._update_overload(metrics)
        for kind, total in self._link_usage.totals().items():
            metrics.set_scalar(LINK_BYTES[kind], total)
        if self._event_log is not None:
            metrics.set_scalar(LINES_DROPPED, self._event_log.dropped)
