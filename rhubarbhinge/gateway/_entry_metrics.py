"""Metrics of an entry that are collected when they are requested."""

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.forward import ConnectionPool
from rhubarbhinge.gateway._link_usage import LinkUsage
from rhubarbhinge.peers import Peers, SharedSource
from rhubarbhinge.published import Follower
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.retries import RetryBudget
from rhubarbhinge.telemetry import EventLog, Figure, Metrics

CONNECTIONS = Figure("searcher_connections", "Connections to searchers, open or being opened")
WAITING = Figure("requests_waiting", "Requests that wait for a connection to a searcher")
UNREACHABLE = Figure("searchers_unreachable", "Searchers to which no connection can be made")
EVACUATED = Figure("evacuated_domains", "Failure domains whose searchers get no requests")
BAD_LOADS = Figure("bad_loads_total", "Replies of searchers whose load made no sense", True)
QUARANTINED = Figure("quarantined_requests", "Requests refused as they end searchers")
QUARANTINE_REFUSED = Figure(
    "quarantine_refused_total", "Attempts at quarantined requests that were refused", True
)
EXTRA_SENDS = Figure("extra_sends_total", "Hedges and retries that the budget granted", True)
EXTRA_SENDS_REFUSED = Figure(
    "extra_sends_refused_total", "Hedges and retries that it did not", True
)
EXTRA_SENDS_LEFT = Figure("extra_sends_left", "Extra sends left for the service that has least")
STORE_CALLS = Figure("platform_calls_total", "Reads and watches of the platform's store", True)
READER_CALLS = Figure("reader_calls_total", "Waits for changes at another entry", True)
STORE_ERA = Figure("store_era", "Era of the store that is known: its returns from copies")
UNUSABLE_ENTRIES = Figure("unusable_entries", "Keys of the store that hold what can't be used")
UNUSABLE_ENTRIES_FOUND = Figure("unusable_entries_total", "Such values read since the start", True)
LINK_BYTES = {
    "callers": Figure("sent_to_callers_bytes_total", "Bytes of answers to callers", True),
    "searchers": Figure("sent_to_searchers_bytes_total", "Bytes of requests to searchers", True),
    "asks": Figure("sent_asks_bytes_total", "Bytes of asks to other entries", True),
    "parts": Figure("sent_parts_bytes_total", "Bytes of parts for other entries", True),
    "state": Figure("sent_state_bytes_total", "Bytes of published state for others", True),
}
"""Metrics of the bytes that this entry sends, by kind."""
LINES_DROPPED = Figure("log_lines_dropped_total", "Lines above the log's budget, or unread", True)


class EntryMetrics:
    """Collects the metrics of the components of an entry.

    :param follower: the published state.
    :param peers: the other entries.
    :param source: source of the published state.
    :param fleet: the searchers.
    :param pool: connections to the searchers.
    :param budget: the retry budget.
    :param link_usage: usage of the VM's network link.
    :param quarantine: tracks requests that end the searchers executing them.
    :param event_log: the buffered event log; None if events are written elsewhere.
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

    def update(self, metrics: Metrics) -> None:
        """Set the current values.

        :param metrics: receives the values.
        """
        plan = self._follower.plan
        version = plan.version if plan else 0
        metrics.set_config("plan", version, self._follower.age_ms())
        metrics.set_members({"alive": len(self._peers.membership.all_live())})
        metrics.set_drains(sum(observed.is_leaving for observed in self._fleet.all()))
        metrics.show(UNREACHABLE, sum(observed.is_down for observed in self._fleet.all()))
        metrics.show(EVACUATED, len(self._follower.evacuated))
        metrics.show(CONNECTIONS, self._pool.open_connections)
        metrics.show(BAD_LOADS, self._pool.bad_loads)
        metrics.show(WAITING, self._pool.waiting)
        metrics.show(EXTRA_SENDS, self._budget.granted)
        metrics.show(EXTRA_SENDS_REFUSED, self._budget.refused)
        metrics.show(EXTRA_SENDS_LEFT, self._budget.least_left())
        metrics.show(STORE_CALLS, self._source.platform_calls)
        metrics.show(READER_CALLS, self._source.reader_calls)
        metrics.show(STORE_ERA, self._follower.revision.era)
        metrics.show(UNUSABLE_ENTRIES, len(self._follower.unusable))
        metrics.show(UNUSABLE_ENTRIES_FOUND, self._follower.unusable.total_found)
        metrics.show(QUARANTINED, self._quarantine.convicted)
        metrics.show(QUARANTINE_REFUSED, self._quarantine.refused)
        for kind, total in self._link_usage.totals().items():
            metrics.show(LINK_BYTES[kind], total)
        if self._event_log is not None:
            metrics.show(LINES_DROPPED, self._event_log.dropped)
