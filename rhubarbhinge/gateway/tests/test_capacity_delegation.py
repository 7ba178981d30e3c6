"""Delegation of shards and connections to searchers in domains of unequal VMs.

The load pattern is that of ``rhubarbhinge.delegation.tests.test_capacity_split``.
"""

import random
import unittest
from types import SimpleNamespace

from circuits import BaseComponent

from rhubarbhinge.delegation import DelegateAccepted, DelegateClient, DelegateReply, LinkCodec
from rhubarbhinge.delegation._client import ACCEPT_TIMEOUT_MS
from rhubarbhinge.fleet import DomainReachability, Searcher
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld
from rhubarbhinge.gateway._capacity_delegation import CapacityDelegation, ShardCounts
from rhubarbhinge.gateway._connection_limit import IN_FLIGHT_FACTOR, connection_limit
from rhubarbhinge.gateway._shard_delegation import shard_delegation
from rhubarbhinge.members import UNKNOWN_CAPACITY, Member, VmCapacity

STRONG = VmCapacity(2.15, 100_000.0)
WEAK = VmCapacity(0.361, 7_000.0)
SERVICES = [f"s{number}" for number in range(90)]


class FakeMembers:
    """Entries of ``hall-a``; this one has the first capacity."""

    def __init__(self, capacities: list[VmCapacity]):
        self.me, *self.others = [
            Member(f"vm-{n}", f"10.0.0.{n}", "hall-a", n, capacity=capacity)
            for n, capacity in enumerate(capacities, 1)
        ]

    def live(self, failure_domain: str) -> list[Member]:
        return self.others if failure_domain == "hall-a" else []

    def live_count(self, failure_domain: str) -> int:
        return len(self.live(failure_domain)) + 1

    def on_domain_contact(self, failure_domain: str) -> None:
        pass


class CapacityDelegationTest(unittest.TestCase):
    def start(self, capacities: list[VmCapacity], by_capacity: bool = True) -> None:
        self.world = FakeWorld(services=())
        for service in SERVICES:
            self.world.fleet.put(Searcher(f"i-{service}", service, "10.1.0.1", 80, "hall-a", 2))
        self.members = FakeMembers(capacities)
        self.rng = random.Random(1)
        timers = self.world.timers
        self.client = DelegateClient(
            timers,
            self.members,
            1,
            self.rng,
            DomainReachability(timers.now_ms, lambda failure_domain: None),
        ).register(BaseComponent())
        self.links = self.client._links = SimpleNamespace(
            open=lambda ip, port, timeout_ms: int(ip.rpartition(".")[2]),
            send=lambda link, data: None,
            flush=lambda link: None,
            unsent_bytes=lambda link: 0,
        )
        split = CapacityDelegation(self.client, "hall-a", self.members.me.capacity, lambda: 0)
        self.counts = ShardCounts()
        self.delegation = shard_delegation(
            "hall-a",
            self.world.context,
            self.client,
            self.rng,
            split if by_capacity else None,
            self.counts,
        )
        self.terms = SimpleNamespace(
            route_name="route",
            answer_by_ms=timers.now_ms() + 200.0,
            target_latency_ms=72.6,
            shards=SimpleNamespace(top_k=5),
            call=self.world.terms(),
        )
        for link_ip in self.client.prepare("hall-a"):
            self.client._opened(self.links.open(link_ip, 1, 0.0), False)

    def split(self) -> dict[str, list[str]]:
        return self.delegation.shards_for(REQUEST, self.terms, SERVICES)

    def send(self, address: str, services: list[str]) -> None:
        self.parts = []
        self.delegation.send(
            address, REQUEST, self.terms, services, self.parts.append, lambda *_: ()
        )

    def receive(self, address: str, message: object) -> None:
        self.client._received(self.links.open(address, 1, 0.0), LinkCodec().encode(message))

    def test_strong_entries_take_the_shards_of_a_weak_one(self):
        """Guards against parts that take as long as the slowest VM of the domain needs."""
        self.start([WEAK, STRONG, STRONG, *[WEAK] * 4])
        self.assertEqual(
            {address: len(services) for address, services in self.split().items()},
            {"10.0.0.2": 45, "10.0.0.3": 45},
        )
        self.assertEqual((self.counts.delegated, self.counts.kept), (90, 0))
        self.assertEqual(self.delegation.capacity_label("10.0.0.2"), "2.15/100")
        self.assertEqual(self.delegation.capacity_label("10.0.0.99"), "")

    def test_strong_entry_that_does_not_accept_is_avoided_by_the_next_search(self):
        """Guards against searches that wait 30 ms each for a VM that has stopped."""
        self.start([WEAK, STRONG, STRONG, *[WEAK] * 4])
        parts = self.split()
        self.send("10.0.0.2", parts["10.0.0.2"])
        self.world.timers.advance(ACCEPT_TIMEOUT_MS + 1.0)
        self.assertEqual(self.parts, [None])
        after = self.split()
        self.assertNotIn("10.0.0.2", after)
        self.assertEqual(len(after["10.0.0.3"]), 45)
        kept = [name for name in SERVICES if not any(name in part for part in after.values())]
        self.assertGreaterEqual(len(kept), 5)

    def test_reported_and_unanswered_shards_count_as_load(self):
        """Guards against a busy strong VM that gets as many shards as an idle one."""
        self.start([WEAK, STRONG, STRONG, *[WEAK] * 4])
        self.send("10.0.0.2", SERVICES[:20])
        (busy,) = [one for one in self.client.candidates("hall-a") if one.address == "10.0.0.2"]
        self.assertEqual(busy.in_progress, 20.0)
        self.receive("10.0.0.2", DelegateAccepted(1, 30))
        self.assertEqual(
            [one.in_progress for one in self.client.candidates("hall-a") if one.in_progress], [50.0]
        )
        self.assertLess(len(self.split()["10.0.0.2"]), 45)

    def test_sizes_of_a_route_follow_its_parts(self):
        self.start([WEAK, STRONG])
        split = CapacityDelegation(self.client, "hall-a", WEAK, lambda: 0)
        split.on_part("route", 400)
        self.assertEqual((split.shard_bytes("route"), split.shard_bytes("x")), (650.0, 1_200.0))

    def test_even_domains_are_divided_as_without_capacities(self):
        """Guards against changes in deployments whose VMs are equal or tell no capacity."""
        for capacities in ([STRONG] * 8, [UNKNOWN_CAPACITY] * 8, [UNKNOWN_CAPACITY, STRONG] * 4):
            drawn = []
            for by_capacity in (True, False):
                self.start(capacities, by_capacity)
                drawn.append(([self.split() for _ in range(5)], self.rng.getstate()))
            self.assertEqual(*drawn)
            self.assertEqual([len(part) for part in drawn[0][0][0].values()], [15] * 5)

    def test_connection_limit_follows_the_share_of_capacity(self):
        """Guards against strong VMs whose requests wait here while searchers have free slots, and
        against a fleet that opens more connections than a searcher accepts."""
        observed = SimpleNamespace(
            searcher=SimpleNamespace(service="s", failure_domain="hall-a", capacity=12)
        )
        fleet = [STRONG] * 2 + [WEAK] * 34

        def limit(
            own: VmCapacity, others: list[VmCapacity], max_connections: int, entries: int = 36
        ) -> int:
            self.start([own, *others])
            services = {"s": SimpleNamespace(max_connections=max_connections)}
            follower = SimpleNamespace(plan=SimpleNamespace(services=services))
            share = self.client.capacities.own_share
            count = connection_limit(follower, self.members, lambda: entries, lambda: share)
            return count(observed)

        strong, weak = limit(STRONG, fleet[1:], 3_600), limit(WEAK, fleet[:-1], 3_600)
        self.assertEqual((strong, weak), (7, 2))
        self.assertGreaterEqual(2 * strong + 34 * weak, IN_FLIGHT_FACTOR * 12)
        # Of 108 connections, 54 are for the domain; at least one each is left to the others.
        strong, weak = limit(STRONG, fleet[1:], 108), limit(WEAK, fleet[:-1], 108)
        self.assertEqual((strong, weak), (7, 1))
        self.assertLessEqual(2 * strong + 34 * weak, 54)
        self.assertEqual(limit(STRONG, fleet[1:], 58, entries=72), 5)
        observed.searcher.failure_domain = "hall-b"
        self.assertEqual(limit(STRONG, fleet[1:], 108, entries=36), 1)
        observed.searcher.failure_domain = "hall-a"
        self.assertEqual(limit(UNKNOWN_CAPACITY, [UNKNOWN_CAPACITY] * 35, 3_600), 2)


class EarlierReleaseTest(unittest.TestCase):
    def test_reply_of_an_entry_that_reports_no_load_is_used(self):
        """Guards against treating entries of an earlier release as failed."""
        case = CapacityDelegationTest()
        case.start([WEAK, STRONG, STRONG])
        case.send("10.0.0.2", SERVICES[:1])
        link = case.links.open("10.0.0.2", 1, 0.0)
        codec = LinkCodec()
        case.client._received(link, codec.encode(DelegateAccepted(1)))
        reply = DelegateReply(1, ("s0",), ("sig",), (), (), True, b"x" * 16)
        case.client._received(link, codec.encode(reply))
        self.assertEqual(case.parts[0].services, ("s0",))
        self.assertEqual({one.in_progress for one in case.client.candidates("hall-a")}, {0.0})


if __name__ == "__main__":
    unittest.main()
