"""Entries as processes on a store that comes back from a copy of itself."""

import tempfile
import time
import unittest
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Deployment, EntryProcess, StoreCopy, configuration

SHARDS = ("shard-0", "shard-1")
DOMAINS = ("hall-a", "hall-b")
AWAY_S = 0.8
"""How long the store answers nobody before it is back."""


def config(version: int, **added: str) -> dict:
    """Make a configuration of a search and more routes to single services."""
    return configuration(version, SHARDS, {}, added, 2_000)


class RestoresTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.deployment.put("op/config", config(3))
        for service in (*SHARDS, "store"):
            self.deployment.add_searcher(f"i-{service}", service)
        self.entries = [
            self.deployment.start_entry(zone=zone) for zone in DOMAINS for _ in range(2)
        ]
        for entry in self.entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())

    def serves(self, entry: EntryProcess, route: str) -> bool:
        return entry.ask(f"/{route}/x", f"{entry.name}-{route}").status == 200

    def wait_served(self, route: str) -> None:
        for entry in self.entries:
            self.assertTrue(wait_until(lambda one=entry: self.serves(one, route)), entry.log())

    def change_until_all_know(self, version: int) -> None:
        """Write a configuration and some searchers, and wait until all entries have them."""
        for number in range(5):
            self.deployment.add_searcher(f"i-{version}-{number}", "store")
        self.deployment.put("op/config", config(version, before="store"))
        self.wait_served("before")

    def come_back_from(self, copy: StoreCopy, *unreached: EntryProcess) -> None:
        """Have the store answer nobody, lose all since a copy, and answer all but some entries."""
        for entry in self.entries:
            self.deployment.turn_away(entry)
        self.deployment.lose_since(copy)
        time.sleep(AWAY_S)
        for entry in self.entries:
            self.deployment.stores[entry.name].down = entry in unreached

    def test_a_change_after_the_store_came_back_from_a_copy_is_in_force(self):
        copy = self.deployment.copy_store()
        self.change_until_all_know(5)
        self.come_back_from(copy)
        self.deployment.put("op/config", config(6, before="store", added="store"))
        self.wait_served("added")

    def test_entries_that_never_reach_the_store_again_hear_of_it_from_the_others(self):
        copy = self.deployment.copy_store()
        self.change_until_all_know(5)
        self.come_back_from(copy, self.entries[1], *self.entries[2:])
        self.deployment.put("op/config", config(6, before="store", added="store"))
        self.wait_served("added")

    def test_nobody_goes_back_before_the_operator_writes_again(self):
        copy = self.deployment.copy_store()
        self.change_until_all_know(5)
        self.come_back_from(copy)
        for entry in self.entries:
            self.assertTrue(entry.wait_log("event=platform-restored"), entry.log())
            self.assertTrue(self.serves(entry, "before"), entry.log())
            self.assertIn("rhubarbhinge_store_era 2", entry.metrics())
        again = self.deployment.start_entry()
        self.entries.append(again)
        # What the store has lost, it hears from the others.
        self.assertTrue(wait_until(lambda: self.serves(again, "before")), again.log())

    def test_the_revision_of_before_is_reached_again_before_anyone_looks(self):
        copy = self.deployment.copy_store()
        self.change_until_all_know(5)
        for entry in self.entries:
            self.deployment.turn_away(entry)
        self.deployment.lose_since(copy)
        self.deployment.put("op/config", config(6, before="store", added="store"))
        for number in range(8):
            self.deployment.add_searcher(f"i-later-{number}", "store")
        for entry in self.entries:
            self.deployment.stores[entry.name].down = False
        self.wait_served("added")
