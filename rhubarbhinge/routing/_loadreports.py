"""Load reports that a relay publishes to entries."""

from dataclasses import replace
from typing import Any

from rhubarbhinge.routing._publishload import PublishLoad
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.wire import UpstreamReport


class LoadReports:
    """Publishes changed load reports, and repeats unchanged ones periodically.

    :param policy: relay settings.
    :ivar due_ms: time of the next report check.
    """

    def __init__(self, policy: RelayPolicy) -> None:
        self.due_ms = 0
        self._policy = policy
        self._repeat_at_ms = 0
        self._last: UpstreamReport | None = None

    def publish(self, report: UpstreamReport, now_ms: int, effects: list[Any]) -> None:
        """Publish a report that differs from the last one, or is due for repetition.

        :param report: the current report.
        :param now_ms: current time in ms.
        :param effects: list that effects are appended to.
        """
        self.due_ms = now_ms + self._policy.report_period_ms
        unchanged = replace(report, relay_now_ms=0)
        if unchanged == self._last and now_ms < self._repeat_at_ms:
            return
        self._last = unchanged
        self._repeat_at_ms = now_ms + self._policy.report_repeat_ms
        effects.append(PublishLoad(report))


def load_report(upstreams: list[Upstream], now_ms: int) -> UpstreamReport:
    """Return the load report of searchers.

    :param upstreams: the searchers' states.
    :param now_ms: current time in ms.
    :returns: the report.
    """
    return UpstreamReport(
        tuple(upstream.spec.upstream_id for upstream in upstreams),
        tuple(int(upstream.state(now_ms)) for upstream in upstreams),
        tuple(upstream.queue.count for upstream in upstreams),
        tuple(upstream.in_flight for upstream in upstreams),
        tuple(upstream.allowed for upstream in upstreams),
        int(now_ms),
    )
