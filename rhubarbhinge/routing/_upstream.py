"""A searcher as its owning relay sees it."""

from rhubarbhinge.routing._concurrency import ConcurrencyLimit
from rhubarbhinge.routing._connection import Connection
from rhubarbhinge.routing._drainstate import DrainState
from rhubarbhinge.routing._job import Job
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._upstreamspec import UpstreamSpec
from rhubarbhinge.wire import HoldingReport, UpstreamState


class Upstream:
    """The state of one searcher: queue, connections, limit, drain and health.

    :param spec: the searcher.
    :param policy: settings.
    :param now_ms: the time.
    """

    def __init__(self, spec: UpstreamSpec, policy: RelayPolicy, now_ms: int) -> None:
        self.policy = policy
        self.owned = True
        self.heap: list[tuple[int, int, int, Job]] = []
        self.queued_by_weight: dict[int, int] = {}
        self.queued = 0
        self.in_flight = 0
        self.connections: dict[int, Connection] = {}
        self.idle: list[Connection] = []
        self.opening = 0
        self.connect_failures = 0
        self.connect_not_before_ms = 0
        self.failures = 0
        self.health_failures = 0
        self.last_answer_ms: int | None = None
        self.health_at_ms = now_ms
        self.service_ms = policy.assumed_service_ms
        self.incarnation: int | None = None
        self.holding: HoldingReport | None = None
        self.drain = DrainState()
        self.set_spec(spec)
        self.limit = ConcurrencyLimit(self.slots, policy, now_ms)

    def set_spec(self, spec: UpstreamSpec) -> None:
        """Take the searcher's entry of a register revision.

        :param spec: the searcher.
        """
        self.spec = spec
        self.slots = max(1, int(spec.slots * spec.share))
        shared = int(spec.connections * spec.share)
        self.cap = max(1, shared - self.policy.control_connections)

    def state(self, now_ms: int) -> UpstreamState:
        """Give the state that entries are told; own observation goes before its health.

        :param now_ms: the time.
        :returns: the state.
        """
        if self.drain.draining:
            return UpstreamState.DRAINING
        if self.is_down():
            return UpstreamState.DOWN
        if self.incarnation is None and self.last_answer_ms is None:
            return UpstreamState.UNKNOWN
        return UpstreamState.WARMING if self.limit.is_cold(now_ms) else UpstreamState.READY

    def is_down(self) -> bool:
        """Tell whether nothing has worked for a while.

        :returns: True after several failures in a row.
        """
        worst = max(self.failures, self.connect_failures)
        return worst >= self.policy.down_failures

    def allowed(self, now_ms: int) -> int:
        """Give how many requests may be in flight: one to try with, when nothing works.

        :param now_ms: the time.
        :returns: the limit, never above the slots.
        """
        limit = self.limit.value(now_ms)
        return min(limit, 1) if self.is_down() else limit

    def wait_ms(self, weight: int, now_ms: int) -> float:
        """Estimate how long a new request would wait.

        :param weight: its class's weight.
        :param now_ms: the time.
        :returns: the time in ms until it would be sent.
        """
        pause_ms = max(0, self.limit.paused_until_ms - now_ms)
        limit = max(1, self.allowed(now_ms))
        if not self.queued and self.in_flight < limit:
            return pause_ms + self.connect_wait_ms(now_ms)
        ahead = sum(count for other, count in self.queued_by_weight.items() if other >= weight)
        return pause_ms + (ahead + 1) * self.service_ms / limit

    def connect_wait_ms(self, now_ms: int) -> int:
        """Estimate how long until a connection is idle, when a slot is free.

        :param now_ms: the time.
        :returns: 0 with an idle connection, else the time for a new one.
        """
        if self.idle:
            return 0
        return max(0, self.connect_not_before_ms - now_ms) + self.spec.connect_ms

    def observe_service(self, service_ms: int) -> None:
        """Note how long the searcher took.

        :param service_ms: the time from sending to the answer.
        """
        self.service_ms += self.policy.service_gain * (service_ms - self.service_ms)
