"""Entries of the store that other writers make, and searchers that start again under their id."""

import itertools
import tempfile
import unittest
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Deployment, EntryProcess, Searcher, configuration

BORN = 1_764_720_000_000
"""Unix time of a start, in ms."""


class EntriesTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.numbers = itertools.count(1)
        self.deployment.put("op/config", configuration(3, ("a", "b"), {"once": "a"}, {}, 2_000))
        for service in ("a", "b"):
            for place in (1, 2):
                self.deployment.add_searcher(f"i-{service}-{place}", service, born=BORN)

    def start(self, count: int = 2) -> list[EntryProcess]:
        entries = [self.deployment.start_entry() for _ in range(count)]
        for entry in entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())
        return entries

    def check_served(self, entry: EntryProcess) -> None:
        for _ in range(5):
            request_id = f"served-{next(self.numbers)}"
            answer = entry.ask("/search/x", request_id)
            self.assertEqual(answer.status, 200, entry.log())
            signatures = sorted(answer.headers["x-part-seals"].split(", "))
            self.assertEqual(signatures, [f"{name}.{request_id}" for name in ("a", "b")])

    def is_used(self, entry: EntryProcess, searcher: Searcher) -> bool:
        """Ask a few times; tell whether a searcher got any of it."""
        before = len(searcher.arrivals)
        for _ in range(8):
            entry.ask("/search/x", f"use-{next(self.numbers)}")
        return len(searcher.arrivals) > before

    def test_entries_of_another_writer_harm_nobody(self):
        entry, other = self.start()
        good = self.deployment.searchers["i-a-1"].entry()
        bad = {
            "servers/x-1": {**good, "address": None},
            "servers/x-2": {**good, "address": 5},
            "servers/x-3": {**good, "service": ["a"]},
            "servers/x-4": {**good, "born": [BORN]},
            "servers/x-5": {**good, "state": "gone"},
            "servers/x-6": {**good, "capacity": "2", "address": "10.0.0.1:-5"},
            "servers/x-7": b"\xff\x00",
            "servers/x\r\nX-Evil: 1": good,
            "servers/i-a-2": {**good, "state": 7},
        }
        for key, value in bad.items():
            self.deployment.put(key, value)
        self.deployment.add_searcher("i-b-3", "b", born=BORN)
        for one in (entry, other):
            self.assertTrue(one.wait_log("searcher=i-b-3"), one.log())
            self.check_served(one)
            self.assertIn("event=searcher-gone searcher=i-a-2", one.log())
        # One that starts beside them serves as well, and none has ended.
        third = self.deployment.start_entry()
        self.assertTrue(wait_until(third.is_ready), third.log())
        self.check_served(third)
        for one in (entry, other, third):
            self.assertIsNone(one.popen.poll(), one.log())
        self.assertEqual(entry.log().count('cause="Expected `str`, got `null`'), 1)
        self.assertIn("rhubarbhinge_unusable_entries 9", entry.metrics())

    def test_a_searcher_that_starts_again_under_its_id_is_used_again(self):
        entry, follower = self.start()
        old = self.deployment.searchers["i-a-1"]
        self.deployment.put("servers/i-a-1", old.entry(draining=True))
        for one in (entry, follower):
            self.assertTrue(one.wait_log("draining=true"), one.log())
        new = self.deployment.add_searcher("i-a-1", "a", born=BORN + 5_000)
        for one in (entry, follower):
            used = wait_until(lambda one=one: self.is_used(one, new))
            self.assertTrue(used, one.log())
        # What its earlier start wrote is late, and says nothing of the later one.
        self.deployment.put("servers/i-a-1", old.entry(draining=True))
        self.deployment.add_searcher("i-b-3", "b", born=BORN)
        for one in (entry, follower):
            self.assertTrue(one.wait_log("searcher=i-b-3"), one.log())
            used = wait_until(lambda one=one: self.is_used(one, new))
            self.assertTrue(used, one.log())

    def test_a_searcher_that_starts_again_as_another_service_is_used_as_that(self):
        entry, follower = self.start()
        new = self.deployment.add_searcher("i-a-1", "b", born=BORN + 5_000)
        for one in (entry, follower):
            self.assertTrue(one.wait_log("searcher=i-a-1 service=b"), one.log())
            self.check_served(one)
            used = wait_until(lambda one=one: self.is_used(one, new))
            self.assertTrue(used, one.log())
            self.check_served(one)
            self.assertIsNone(one.popen.poll(), one.log())
