"""Estimated response times of replicas, from this entry's own observations."""

from rhubarbhinge.wire import UpstreamState

#: Weight of a new latency in the exponential moving average.
_AVERAGE_WEIGHT = 0.2
#: A score older than this is ignored, so that one sub-query may measure the searcher again.
STALE_AFTER_MS = 5_000.0
#: Initial value of the mean latency, which is assumed for searchers without samples.
_INITIAL_LATENCY_MS = 5.0
#: Assumed slowdown of a searcher while it warms up.
_WARMING_FACTOR = 3.0
#: Weight of the reported load against this entry's own outstanding sub-queries, as reports lag.
_REPORTED_LOAD_WEIGHT = 0.5
#: A failed or refused sub-query counts as this multiple of the mean latency.
_FAILURE_FACTOR = 4.0


class _ReplicaStats:
    __slots__ = ("average_ms", "at_ms", "outstanding", "reported", "slots")

    def __init__(self, average_ms: float) -> None:
        self.average_ms = average_ms
        self.at_ms = -STALE_AFTER_MS
        self.outstanding = 0
        self.reported = 0
        self.slots = 1


class ReplicaScores:
    """Latency, failures and outstanding sub-queries that this entry observes of each searcher."""

    def __init__(self) -> None:
        self._stats: dict[int, _ReplicaStats] = {}
        self._mean_ms = _INITIAL_LATENCY_MS

    def on_sent(self, upstream_id: int) -> None:
        """Count a sub-query that was sent.

        :param upstream_id: the searcher.
        """
        self._stats_of(upstream_id).outstanding += 1

    def on_ended(self, upstream_id: int) -> None:
        """Count a sub-query that is no longer outstanding.

        :param upstream_id: the searcher.
        """
        stats = self._stats_of(upstream_id)
        stats.outstanding = max(0, stats.outstanding - 1)

    def on_latency(self, upstream_id: int, latency_ms: float, now_ms: float) -> None:
        """Record the latency of an answer.

        :param upstream_id: the searcher.
        :param latency_ms: time from sending to the answer, measured by this entry.
        :param now_ms: current time in ms.
        """
        stats = self._stats_of(upstream_id)
        if now_ms - stats.at_ms > STALE_AFTER_MS:
            stats.average_ms = latency_ms
        else:
            stats.average_ms += _AVERAGE_WEIGHT * (latency_ms - stats.average_ms)
        stats.at_ms = now_ms
        self._mean_ms += 0.01 * (latency_ms - self._mean_ms)

    def on_overdue(self, upstream_id: int, waited_ms: float, now_ms: float) -> None:
        """Record a sub-query that is late, or that was cancelled without an answer.

        Its latency is at least the time waited, so the average is raised to that. Otherwise a
        searcher whose sub-queries are always hedged and cancelled never records a latency, and is
        considered fast.

        :param upstream_id: the searcher.
        :param waited_ms: time since sending, a lower bound of the latency.
        :param now_ms: current time in ms.
        """
        stats = self._stats_of(upstream_id)
        stats.at_ms = now_ms
        stats.average_ms = max(stats.average_ms, waited_ms)

    def on_failure(self, upstream_id: int, now_ms: float) -> None:
        """Record a refusal or failure.

        :param upstream_id: the searcher.
        :param now_ms: current time in ms.
        """
        self.on_overdue(upstream_id, _FAILURE_FACTOR * self._mean_ms, now_ms)

    def on_report(self, upstream_id: int, queued: int, in_flight: int, slots: int) -> None:
        """Record a relay's report of a searcher's load.

        :param upstream_id: the searcher.
        :param queued: sub-queries queued at the relay.
        :param in_flight: sub-queries sent and not answered.
        :param slots: sub-queries that the relay sends concurrently.
        """
        stats = self._stats_of(upstream_id)
        stats.reported = queued + in_flight
        stats.slots = max(1, slots)

    def score(self, upstream_id: int, state: UpstreamState, now_ms: float) -> float:
        """Estimate the response time of a sub-query.

        :param upstream_id: the searcher.
        :param state: its state, as reported by its relay.
        :param now_ms: current time in ms.
        :returns: milliseconds; only meant to compare searchers.
        """
        stats = self._stats.get(upstream_id)
        if stats is None:
            return self._mean_ms
        average_ms = stats.average_ms
        if stats.outstanding == 0 and now_ms - stats.at_ms > STALE_AFTER_MS:
            average_ms = self._mean_ms
        if state == UpstreamState.WARMING:
            average_ms *= _WARMING_FACTOR
        load = max(stats.outstanding, _REPORTED_LOAD_WEIGHT * stats.reported)
        return average_ms * (1.0 + load / stats.slots)

    def _stats_of(self, upstream_id: int) -> _ReplicaStats:
        stats = self._stats.get(upstream_id)
        if stats is None:
            stats = self._stats[upstream_id] = _ReplicaStats(self._mean_ms)
        return stats
