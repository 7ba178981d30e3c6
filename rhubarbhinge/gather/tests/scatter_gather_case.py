"""Test case base for searches over four shards, with fake searchers and other entries."""

import unittest

from rhubarbhinge.forward import UNLIMITED, AttemptControl, FailureReason, Lost, RequestTrace
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied
from rhubarbhinge.gather import (
    AttemptReport,
    Gathered,
    GatherTerms,
    ScatterGather,
    ShardDelegation,
    TooFewShards,
)
from rhubarbhinge.plans import ShardSet

SHARDS = ("s0", "s1", "s2", "s3")


class FakeDelegation:
    """Fake other entries, whose results are provided by the test.

    :param by_address: shards delegated to each entry.
    """

    def __init__(self, by_address: dict[str, list[str]]):
        self._by_address = by_address
        self.on_part = {}
        self.grant_attempts = {}
        self.report_attempts = {}
        self.granted: list[str] = []
        self.cancelled = 0
        self.delegation = ShardDelegation(
            lambda request, terms, served: self._by_address, self._send
        )

    def _send(self, address, request, terms, services, on_part, grant):
        self.on_part[address] = on_part
        self.report_attempts[address] = grant
        self.grant_attempts[address] = lambda services: grant(services, AttemptReport())
        return self

    def grant(self, services: tuple[str, ...]) -> None:
        self.granted.extend(services)

    def cancel(self) -> None:
        self.cancelled += 1


class ScatterGatherCase(unittest.TestCase):
    def start(
        self,
        min_coverage: float = 0.75,
        delegated: dict | None = None,
        slack: float = 10.0,
        control: AttemptControl = UNLIMITED,
        hedge_ms: float | None = None,
    ):
        self.world = FakeWorld(slack, SHARDS)
        self.delegated = FakeDelegation(delegated or {})
        self.ends: list[Gathered | TooFewShards] = []
        now_ms = self.world.timers.now_ms()
        terms = GatherTerms(
            "route",
            ShardSet(SHARDS, 2, min_coverage),
            100.0,
            now_ms + 90.0,
            self.world.terms(hedge_ms=hedge_ms, control=control),
        )
        self.search = ScatterGather(
            self.world.context,
            REQUEST,
            terms,
            self.world.delays,
            self.delegated.delegation,
            self.ends.append,
            RequestTrace("r1", self.world.timers.now_ms),
        )
        self.search.start()

    def answer(self, *services: str) -> None:
        for attempt in list(self.world.attempts):
            if attempt.service in services and not attempt.cancelled:
                record = attempt.service.encode() * 8
                attempt.end(replied(body=record, signature=f"sig-{attempt.service}"))

    def lose(self, service: str) -> None:
        for attempt in list(self.world.attempts):
            if attempt.service == service:
                attempt.end(Lost(FailureReason.BROKEN))
