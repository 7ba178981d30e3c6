"""A searcher's state at the relay that owns it."""

from math import floor
from typing import Any

from rhubarbhinge.routing._concurrency import ConcurrencyLimit
from rhubarbhinge.routing._connectionpool import ConnectionPool
from rhubarbhinge.routing._connectiontable import ConnectionTable
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._drainstate import DrainState
from rhubarbhinge.routing._healthdoc import HealthDoc
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._requestqueue import RequestQueue
from rhubarbhinge.routing._upstreamspec import UpstreamSpec
from rhubarbhinge.wire import HoldingReport, UpstreamState

#: Corrects products such as 98 * (1 / 49) that rounding leaves just below a whole number.
ROUNDING_SLACK = 1e-9


class Upstream:
    """State of one searcher: queue, connections, concurrency limit, drain and health.

    ``allowed`` is the number of requests that may be in flight. :meth:`refresh` updates it after
    each event that may change it, so that sending only reads an attribute.

    :param spec: the searcher.
    :param policy: relay settings.
    :param table: all connections of the relay.
    :param deadlines: deadline queue of the relay.
    :param now_ms: current time in ms.
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        policy: RelayPolicy,
        table: ConnectionTable,
        deadlines: Deadlines,
        now_ms: int,
    ) -> None:
        self.spec = spec
        self.owned = True
        self.slots = _scale(spec.slots, spec.share)
        self.queue = RequestQueue()
        self.pool = ConnectionPool(
            self, spec, _connection_cap(spec, policy), policy, table, deadlines
        )
        self.limit = ConcurrencyLimit(self.slots, policy, now_ms)
        self.drain = DrainState()
        self.in_flight = 0
        self.allowed = 0
        self.failures = 0
        self.service_ms = policy.assumed_service_ms
        self.last_answer_ms: int | None = None
        self.health_at_ms = now_ms
        self.health_failures = 0
        self.incarnation: int | None = None
        self.holding: HoldingReport | None = None
        #: Time at which its latest incarnation was first seen; older connections belong to another.
        self.started_ms = now_ms
        self.policy = policy

    def set_spec(self, spec: UpstreamSpec, effects: list[Any]) -> None:
        """Apply the searcher's entry of another register revision.

        :param spec: the searcher.
        :param effects: list that effects are appended to.
        """
        self.spec = spec
        self.slots = _scale(spec.slots, spec.share)
        self.limit.resize(self.slots)
        self.pool.resize(spec, _connection_cap(spec, self.policy), effects)

    def refresh(self, now_ms: int) -> None:
        """Set ``allowed``: 0 while draining or paused, at most 1 as a probe while down or silent.

        :param now_ms: current time in ms.
        """
        limit = self.limit.value(now_ms)
        if not self.owned or self.drain.draining:
            limit = 0
        elif self._is_down(now_ms) or self._is_silent(now_ms):
            limit = min(limit, 1)
        self.allowed = limit

    def state(self, now_ms: int) -> UpstreamState:
        """Return the state that is reported to entries.

        :param now_ms: current time in ms.
        :returns: the state; the relay's observations take precedence over the health document.
        """
        if self.drain.draining:
            return UpstreamState.DRAINING
        if self._is_down(now_ms):
            return UpstreamState.DOWN
        if self._is_silent(now_ms) or self._is_unobserved():
            return UpstreamState.UNKNOWN
        return UpstreamState.WARMING if self.limit.is_cold(now_ms) else UpstreamState.READY

    def is_settled(self, now_ms: int) -> bool:
        """Return whether no ramp, pause or missing connection can change the state over time.

        :param now_ms: current time in ms.
        :returns: True if all its slots and spare connections are available.
        """
        spare = len(self.pool.idle) >= self.policy.spare_connections
        return spare and self.allowed == self.slots and not self.limit.is_cold(now_ms)

    def wait_ms(self, weight: int, now_ms: int) -> float:
        """Estimate the time until a new request is sent, or, if it has to queue, answered.

        With a free slot the service time is left out: the request is then sent whatever the service
        time estimate, so that an estimate that is too high corrects itself.

        :param weight: the request's weight.
        :param now_ms: current time in ms.
        :returns: time in ms.
        """
        pause_ms = max(0, self.limit.paused_until_ms - now_ms)
        limit = max(1, self.allowed)
        if not self.queue.count and self.in_flight < limit:
            return pause_ms + self.pool.connect_wait_ms(now_ms)
        ahead = self.queue.ahead(weight)
        return pause_ms + (ahead + 1) * self.service_ms / limit + self.service_ms

    def observe_service(self, service_ms: int) -> None:
        """Update the moving average of the service time.

        :param service_ms: time from sending to the response.
        """
        self.service_ms += self.policy.service_gain * (service_ms - self.service_ms)

    def observe_timeout(self, waited_ms: int, now_ms: int) -> None:
        """Record a timeout; it counts as a failure only after at least the usual service time.

        :param waited_ms: time since sending.
        :param now_ms: current time in ms.
        """
        if waited_ms < self.service_ms:
            return
        self.observe_service(waited_ms)
        self.failures += 1
        self.refresh(now_ms)

    def apply_health(self, health: HealthDoc, now_ms: int, effects: list[Any]) -> bool:
        """Apply a health document of the current or a newer incarnation.

        :param health: the document.
        :param now_ms: current time in ms.
        :param effects: list that effects are appended to.
        :returns: whether the searcher's holding report has changed.
        """
        if self.incarnation is not None and health.incarnation > self.incarnation:
            self._reset_for_new_incarnation(now_ms, effects)
        self._clear_down_state(now_ms)
        self.health_failures = 0
        self.incarnation = health.incarnation
        self.limit.set_warming(health.state == "warming", now_ms)
        if health.state == "draining":
            self.drain.on_searcher_signal()
        changed = health.holding != self.holding
        self.holding = health.holding
        return changed

    def _reset_for_new_incarnation(self, now_ms: int, effects: list[Any]) -> None:
        self.drain.on_newer_incarnation()
        self.limit.restart(now_ms)
        self.pool.retire_all(effects)
        self.started_ms = now_ms

    def _clear_down_state(self, now_ms: int) -> None:
        if self.failures >= self.policy.down_failures:
            self.failures = self.policy.down_failures - 1
            self.limit.restart(now_ms)

    def _is_down(self, now_ms: int) -> bool:
        if self.failures >= self.policy.down_failures:
            return True
        return self.pool.refused_wait_ms(now_ms) is not None

    def _is_unobserved(self) -> bool:
        return self.incarnation is None and self.last_answer_ms is None

    def _is_silent(self, now_ms: int) -> bool:
        if self.health_failures < self.policy.down_failures:
            return False
        return not self._answered_recently(now_ms)

    def _answered_recently(self, now_ms: int) -> bool:
        if self.last_answer_ms is None:
            return False
        window_ms = self.policy.down_failures * self.policy.health_period_ms
        return now_ms - self.last_answer_ms < window_ms


def _scale(whole: int, share: float) -> int:
    return max(1, floor(whole * share + ROUNDING_SLACK))


def _connection_cap(spec: UpstreamSpec, policy: RelayPolicy) -> int:
    return max(1, _scale(spec.connections, spec.share) - policy.control_connections)
