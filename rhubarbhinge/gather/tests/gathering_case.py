"""A search over four shards, with other entries and searchers that a test decides on."""

import unittest

from rhubarbhinge.forward import UNLIMITED, AttemptControl, FailureReason, Lost, RequestTrace
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied
from rhubarbhinge.gather import (
    FarNews,
    FarSearch,
    Gathered,
    Gathering,
    GatherTerms,
    NotEnough,
)
from rhubarbhinge.plans import ShardSet

SHARDS = ("s0", "s1", "s2", "s3")


class FakeFar:
    """Other entries, to which a test leaves shards.

    :param by_address: which shards go to which entry.
    """

    def __init__(self, by_address: dict[str, list[str]]):
        self._by_address = by_address
        self.tells = {}
        self.more = {}
        self.news = {}
        self.granted: list[str] = []
        self.cancelled = 0
        self.search = FarSearch(lambda request, terms, served: self._by_address, self._ask)

    def _ask(self, address, request, terms, services, on_part, on_more):
        self.tells[address] = on_part
        self.news[address] = on_more
        self.more[address] = lambda services: on_more(services, FarNews())
        return self

    def grant(self, services: tuple[str, ...]) -> None:
        self.granted.extend(services)

    def cancel(self) -> None:
        self.cancelled += 1


class GatheringCase(unittest.TestCase):
    def start(
        self,
        least: float = 0.75,
        far: dict | None = None,
        slack: float = 10.0,
        control: AttemptControl = UNLIMITED,
        hedge_ms: float | None = None,
    ):
        self.world = FakeWorld(slack, SHARDS)
        self.far = FakeFar(far or {})
        self.ends: list[Gathered | NotEnough] = []
        now_ms = self.world.timers.now_ms()
        terms = GatherTerms(
            "route",
            ShardSet(SHARDS, 2, least),
            100.0,
            now_ms + 90.0,
            self.world.terms(hedge_ms=hedge_ms, control=control),
        )
        self.gathering = Gathering(
            self.world.context,
            REQUEST,
            terms,
            self.world.delays,
            self.far.search,
            self.ends.append,
            RequestTrace("r1", self.world.timers.now_ms),
        )
        self.gathering.start()

    def answer(self, *services: str) -> None:
        for attempt in list(self.world.attempts):
            if attempt.service in services and not attempt.cancelled:
                record = attempt.service.encode() * 8
                attempt.end(replied(body=record, signature=f"sig-{attempt.service}"))

    def lose(self, service: str) -> None:
        for attempt in list(self.world.attempts):
            if attempt.service == service:
                attempt.end(Lost(FailureReason.BROKEN))
