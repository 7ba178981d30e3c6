"""A searcher as its owning relay sees it."""

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

#: Lifts products such as 98 * (1 / 49) that rounding has put just below a whole number.
ROUNDING_SLACK = 1e-9


class Upstream:
    """The state of one searcher: queue, connections, limit, drain and health.

    ``allowed`` is how many requests may be in flight; :meth:`refresh` sets it after each event that
    may change it, so that sending reads a number.

    :param spec: the searcher.
    :param policy: settings.
    :param table: all connections of the relay.
    :param deadlines: what becomes due at the relay.
    :param now_ms: the time.
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
        self.slots = _share(spec.slots, spec.share)
        self.queue = RequestQueue()
        self.pool = ConnectionPool(self, spec, _cap(spec, policy), policy, table, deadlines)
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
        #: When its newest incarnation was first heard of; older connections are of another one.
        self.started_ms = now_ms
        self.policy = policy

    def set_spec(self, spec: UpstreamSpec, effects: list[Any]) -> None:
        """Take the searcher's entry of another register revision.

        :param spec: the searcher.
        :param effects: where effects are put.
        """
        self.spec = spec
        self.slots = _share(spec.slots, spec.share)
        self.limit.resize(self.slots)
        self.pool.resize(spec, _cap(spec, self.policy), effects)

    def refresh(self, now_ms: int) -> None:
        """Set ``allowed``: none while leaving or paused, one to try with while down or silent.

        :param now_ms: the time.
        """
        limit = self.limit.value(now_ms)
        if not self.owned or self.drain.draining:
            limit = 0
        elif self._is_down(now_ms) or self._is_silent(now_ms):
            limit = min(limit, 1)
        self.allowed = limit

    def state(self, now_ms: int) -> UpstreamState:
        """Give the state that entries are told.

        :param now_ms: the time.
        :returns: the state; own observation goes before what the searcher says.
        """
        if self.drain.draining:
            return UpstreamState.DRAINING
        if self._is_down(now_ms):
            return UpstreamState.DOWN
        if self._is_silent(now_ms) or self._is_new():
            return UpstreamState.UNKNOWN
        return UpstreamState.WARMING if self.limit.is_cold(now_ms) else UpstreamState.READY

    def is_settled(self, now_ms: int) -> bool:
        """Tell whether nothing here changes by time alone: no ramp, pause or missing connection.

        :param now_ms: the time.
        :returns: True when all its slots and spare connections are there.
        """
        spare = len(self.pool.idle) >= self.policy.spare_connections
        return spare and self.allowed == self.slots and not self.limit.is_cold(now_ms)

    def wait_ms(self, weight: int, now_ms: int) -> float:
        """Estimate the time until a new request would be sent, or answered when it has to queue.

        With a free slot the service time is left out: the searcher is then tried whatever the
        estimate says, so that an estimate which is too high corrects itself.

        :param weight: the request's weight.
        :param now_ms: the time.
        :returns: the time in ms.
        """
        pause_ms = max(0, self.limit.paused_until_ms - now_ms)
        limit = max(1, self.allowed)
        if not self.queue.count and self.in_flight < limit:
            return pause_ms + self.pool.connect_wait_ms(now_ms)
        ahead = self.queue.ahead(weight)
        return pause_ms + (ahead + 1) * self.service_ms / limit + self.service_ms

    def observe_service(self, service_ms: int) -> None:
        """Note how long an answer took.

        :param service_ms: the time from sending to the answer.
        """
        self.service_ms += self.policy.service_gain * (service_ms - self.service_ms)

    def observe_timeout(self, waited_ms: int, now_ms: int) -> None:
        """Note that no answer came; it counts against the searcher only if it had its usual time.

        :param waited_ms: the time since sending.
        :param now_ms: the time.
        """
        if waited_ms < self.service_ms:
            return
        self.observe_service(waited_ms)
        self.failures += 1
        self.refresh(now_ms)

    def take_health(self, health: HealthDoc, now_ms: int, effects: list[Any]) -> bool:
        """Take a health document that is not of an older incarnation.

        :param health: the document.
        :param now_ms: the time.
        :param effects: where effects are put.
        :returns: whether what the searcher holds has changed.
        """
        if self.incarnation is not None and health.incarnation > self.incarnation:
            self._start_anew(now_ms, effects)
        self._leave_down(now_ms)
        self.health_failures = 0
        self.incarnation = health.incarnation
        self.limit.set_warming(health.state == "warming", now_ms)
        if health.state == "draining":
            self.drain.on_signal()
        changed = health.holding != self.holding
        self.holding = health.holding
        return changed

    def _start_anew(self, now_ms: int, effects: list[Any]) -> None:
        self.drain.on_newer_incarnation()
        self.limit.restart(now_ms)
        self.pool.retire_all(effects)
        self.started_ms = now_ms

    def _leave_down(self, now_ms: int) -> None:
        if self.failures >= self.policy.down_failures:
            self.failures = self.policy.down_failures - 1
            self.limit.restart(now_ms)

    def _is_down(self, now_ms: int) -> bool:
        if self.failures >= self.policy.down_failures:
            return True
        return self.pool.refused_wait_ms(now_ms) is not None

    def _is_new(self) -> bool:
        return self.incarnation is None and self.last_answer_ms is None

    def _is_silent(self, now_ms: int) -> bool:
        if self.health_failures < self.policy.down_failures:
            return False
        return not self._answered_lately(now_ms)

    def _answered_lately(self, now_ms: int) -> bool:
        if self.last_answer_ms is None:
            return False
        window_ms = self.policy.down_failures * self.policy.health_period_ms
        return now_ms - self.last_answer_ms < window_ms


def _share(whole: int, share: float) -> int:
    return max(1, floor(whole * share + ROUNDING_SLACK))


def _cap(spec: UpstreamSpec, policy: RelayPolicy) -> int:
    return max(1, _share(spec.connections, spec.share) - policy.control_connections)
