"""Fake searchers and exchanges controlled by the test."""

import random
from collections.abc import Callable

from rhubarbhinge.fleet import Delays, Fleet, ObservedSearcher, Searcher, expected_cost
from rhubarbhinge.forward import (
    CallContext,
    CallerRequest,
    CallTerms,
    Exchange,
    Outcome,
    Replied,
    SearcherReply,
)
from rhubarbhinge.retries import BudgetRule, RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.utils.fake_timers import FakeTimers

REQUEST = CallerRequest("r1", b"GET /x HTTP/1.1\r\nHost: a\r\n", b"", 1_000.0)


def reply(status: int = 200, body: bytes = b"", signature: str = "sig") -> SearcherReply:
    return SearcherReply(status, (), body, "r1", signature, False, False, None)


def replied(status: int = 200, body: bytes = b"", signature: str = "sig") -> Replied:
    return Replied(reply(status, body, signature), 10.0)


class FakeAttempt:
    """An exchange in progress whose outcome is set by the test."""

    def __init__(self, exchange: Exchange, on_outcome: Callable[[Outcome], None]):
        self.exchange = exchange
        self.sent = True
        self.cancelled = False
        self.ended = False
        self._on_outcome = on_outcome

    @property
    def name(self) -> str:
        return self.exchange.searcher.searcher.incarnation

    @property
    def service(self) -> str:
        return self.exchange.searcher.searcher.service

    def end(self, outcome: Outcome) -> None:
        """Report the outcome."""
        self._on_outcome(outcome)

    def cancel(self) -> None:
        self.cancelled = True


class FakeWorld:
    """Shared dependencies of calls, with exchanges that finish when the test says so.

    :param slack: number of extra sends that the retry budget grants at once.
    :param services: names of services, each with two searchers.
    """

    def __init__(self, slack: float = 10.0, services: tuple[str, ...] = ("shard",)):
        self.timers = FakeTimers()
        self.fleet = Fleet(self.timers.now_ms, lambda observed: None)
        for service in services:
            for place in (1, 2):
                name = f"{service}-{place}"
                self.fleet.put(Searcher(name, service, "10.0.0.1", 80, "hall-a", 2))
        self.attempts: list[FakeAttempt] = []
        self.unsent_next = False
        self.on_send: Callable[[], None] = lambda: None
        rule = BudgetRule(0.0, slack, 10_000.0)
        self.budget = RetryBudget(rule, self.timers.now_ms, lambda: 1)
        self.delays = Delays(20.0)
        cost_function = expected_cost("hall-a", random.Random(1))
        self.metrics = Metrics()
        self.context = CallContext(
            self.timers, self.fleet, cost_function, self.budget, self._send, self.metrics
        )

    def _send(self, exchange: Exchange, on_outcome: Callable[[Outcome], None]) -> FakeAttempt:
        self.on_send()
        attempt = FakeAttempt(exchange, on_outcome)
        attempt.sent = not self.unsent_next
        self.attempts.append(attempt)
        return attempt

    def observed(self, name: str) -> ObservedSearcher:
        return next(one for one in self.fleet.all() if one.searcher.incarnation == name)

    def terms(self, **changes: object) -> CallTerms:
        now_ms = self.timers.now_ms()
        fields = {
            "route_name": "route",
            "idempotent": True,
            "max_attempts": 2,
            "hedge_ms": 30.0,
            "retry_until_ms": now_ms + 100.0,
            "deadline_ms": now_ms + 1_000.0,
        }
        return CallTerms(**{**fields, **changes})
