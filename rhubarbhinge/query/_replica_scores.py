"""Which replica answers soonest, by what this entry has seen itself."""

from rhubarbhinge.wire import UpstreamState

#: Weight of a new latency in the moving average.
_AVERAGE_WEIGHT = 0.2
#: A score older than this is doubted: one sub-query may find out anew.
STALE_AFTER_MS = 5_000.0
#: What an unknown searcher is taken for.
_INITIAL_LATENCY_MS = 5.0
#: How much slower a searcher is taken for while it warms up.
_WARMING_FACTOR = 3.0
#: A reported queue lags, so that it counts for less than what was sent from here.
_REPORTED_LOAD_WEIGHT = 0.5
#: A failed or refused sub-query counts as this many times the average latency.
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
    """What this entry has seen of each searcher: latency, refusals, its own outstanding work."""

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
        """Learn from an answer.

        :param upstream_id: the searcher.
        :param latency_ms: from sending to the answer, as seen here.
        :param now_ms: the time.
        """
        stats = self._stats_of(upstream_id)
        if now_ms - stats.at_ms > STALE_AFTER_MS:
            stats.average_ms = latency_ms
        else:
            stats.average_ms += _AVERAGE_WEIGHT * (latency_ms - stats.average_ms)
        stats.at_ms = now_ms
        self._mean_ms += 0.01 * (latency_ms - self._mean_ms)

    def on_overdue(self, upstream_id: int, waited_ms: float, now_ms: float) -> None:
        """Learn from an answer that has not come, or that was given up for another's.

        The answer would have taken longer than the wait, so that the average is at least the wait:
        a searcher whose sub-queries are always hedged and cancelled never answers, and would else
        be taken for a fast one.

        :param upstream_id: the searcher.
        :param waited_ms: how long it has taken so far: a lower bound.
        :param now_ms: the time.
        """
        stats = self._stats_of(upstream_id)
        stats.at_ms = now_ms
        stats.average_ms = max(stats.average_ms, waited_ms)

    def on_failure(self, upstream_id: int, now_ms: float) -> None:
        """Learn from a refusal or a broken connection.

        :param upstream_id: the searcher.
        :param now_ms: the time.
        """
        self.on_overdue(upstream_id, _FAILURE_FACTOR * self._mean_ms, now_ms)

    def on_report(self, upstream_id: int, queued: int, in_flight: int, slots: int) -> None:
        """Take the relay's report of the searcher's load.

        :param upstream_id: the searcher.
        :param queued: sub-queries waiting at the relay.
        :param in_flight: sub-queries sent.
        :param slots: how many the relay sends at once.
        """
        stats = self._stats_of(upstream_id)
        stats.reported = queued + in_flight
        stats.slots = max(1, slots)

    def score(self, upstream_id: int, state: UpstreamState, now_ms: float) -> float:
        """Estimate how long a sub-query would take.

        :param upstream_id: the searcher.
        :param state: as its relay sees it.
        :param now_ms: the time.
        :returns: milliseconds, an estimate good for comparing.
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
