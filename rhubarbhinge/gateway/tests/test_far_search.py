"""Which shards of a search are left to which entry."""

import random
import unittest

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld
from rhubarbhinge.gateway._far_search import MOST_SHARDS, far_search


class FakeDelegates:
    """Entries by failure domain, all of them ready.

    :param by_domain: their addresses.
    """

    def __init__(self, by_domain: dict[str, list[str]]):
        self._by_domain = by_domain

    def choose(self, failure_domain: str, count: int) -> list[str]:
        return self._by_domain.get(failure_domain, [])[: max(0, count)]


class FarSearchTest(unittest.TestCase):
    def shards_for(self, shards: int, near: bool, entries: dict[str, list[str]]) -> dict:
        services = [f"s{number}" for number in range(shards)]
        world = FakeWorld(services=())
        for service in services:
            domain = "hall-a" if near else "hall-b"
            world.fleet.put(Searcher(f"i-{service}", service, "10.0.0.1", 80, domain, 2))
        far = far_search("hall-a", world.context, FakeDelegates(entries), random.Random(1))
        self.services = services
        return far.shards_for(REQUEST, None, services)

    def assert_split(self, found: dict, addresses: set[str], kept: int) -> None:
        asked = [service for services in found.values() for service in services]
        self.assertEqual(set(found), addresses)
        self.assertEqual(len(asked), len(set(asked)))
        self.assertEqual(len(self.services) - len(asked), kept)
        sizes = {len(services) for services in found.values()}
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_few_shards_near_this_entry_stay_here(self):
        found = self.shards_for(MOST_SHARDS, True, {"hall-a": ["10.0.0.2", "10.0.0.3"]})
        self.assertEqual(found, {})

    def test_many_shards_are_split_evenly_among_entries_of_the_domain(self):
        entries = {"hall-a": ["10.0.0.2", "10.0.0.3", "10.0.0.4"]}
        found = self.shards_for(3 * MOST_SHARDS, True, entries)
        self.assert_split(found, {"10.0.0.2", "10.0.0.3"}, MOST_SHARDS)

    def test_fewer_entries_take_more_each(self):
        found = self.shards_for(90, True, {"hall-a": ["10.0.0.2"]})
        self.assert_split(found, {"10.0.0.2"}, 45)
        self.assertEqual(self.shards_for(90, True, {}), {})

    def test_many_shards_of_another_domain_are_split_among_its_entries(self):
        found = self.shards_for(90, False, {"hall-b": ["10.0.1.2", "10.0.1.3", "10.0.1.4"]})
        self.assert_split(found, {"10.0.1.2", "10.0.1.3", "10.0.1.4"}, 0)

    def test_a_single_shard_of_another_domain_is_left_to_an_entry_there(self):
        self.assertEqual(self.shards_for(1, False, {"hall-b": ["10.0.1.2"]}), {"10.0.1.2": ["s0"]})
        self.assertEqual(self.shards_for(1, False, {}), {})
