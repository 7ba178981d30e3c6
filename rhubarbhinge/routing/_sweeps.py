"""Periodic sweep over all owned searchers."""

from math import ceil
from random import Random
from typing import Any

from rhubarbhinge.routing._pollhealth import PollHealth
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._sending import refresh_and_send, refuse_late_requests
from rhubarbhinge.routing._upstream import Upstream


class Sweeps:
    """Polls health, applies ramps and pauses, and refuses requests that cannot meet their deadline.

    :param policy: relay settings.
    :param rng: random number generator for jitter.
    :param requests: all unfinished requests of the relay.
    :ivar due_ms: time of the next sweep.
    """

    def __init__(self, policy: RelayPolicy, rng: Random, requests: RequestTable) -> None:
        self.due_ms = 0
        self._policy = policy
        self._rng = rng
        self._requests = requests

    def request_sweep(self, now_ms: int) -> None:
        """Schedule the next sweep within ``sweep_period_ms``, because there is work.

        :param now_ms: current time in ms.
        """
        self.due_ms = min(self.due_ms, now_ms + self._policy.sweep_period_ms)

    def sweep(self, upstreams: list[Upstream], now_ms: int, effects: list[Any]) -> None:
        """Sweep all owned searchers, and schedule the next sweep.

        :param upstreams: the searchers' states.
        :param now_ms: current time in ms.
        :param effects: list that effects are appended to.
        """
        for upstream in upstreams:
            if now_ms >= upstream.health_at_ms:
                self._poll_health(upstream, now_ms, effects)
            refresh_and_send(self._requests, upstream, now_ms, effects)
            refuse_late_requests(self._requests, upstream, now_ms, effects)
        self.due_ms = now_ms + self._period_ms(upstreams, now_ms)

    def _period_ms(self, upstreams: list[Upstream], now_ms: int) -> int:
        settled = all(upstream.is_settled(now_ms) for upstream in upstreams)
        if settled and self._requests.is_idle():
            return self._policy.idle_sweep_period_ms
        return self._policy.sweep_period_ms

    def _poll_health(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        jitter = 0.5 + self._rng.random()
        upstream.health_at_ms = now_ms + ceil(self._policy.health_period_ms * jitter)
        spec = upstream.spec
        effects.append(PollHealth(spec.upstream_id, spec.ip, spec.port))
