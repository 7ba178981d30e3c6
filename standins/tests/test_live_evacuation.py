"""Failure domains that the operators evacuate: their searchers get nothing new meanwhile."""

import itertools
import tempfile
import threading
import time
import unittest
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Deployment, EntryProcess, configuration

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")
ZONES = ("hall-a", "hall-b", "hall-c")
CALLERS = 3
"""Callers at each entry."""
LOAD_S = 1.5
"""How long searches are sent to find out which searchers get them."""
IN_FLIGHT_S = 1.0
"""What was written to a searcher before its domain was evacuated has come by then."""


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.numbers = itertools.count(1)
        self.deployment.put("op/config", configuration(3, SHARDS, {"once": "store"}, {}, 2_000))
        for service in (*SHARDS, "store"):
            for zone in ZONES:
                self.deployment.add_searcher(f"i-{service}-{zone}", service, zone)
        self.entries = [self.deployment.start_entry(zone=zone) for zone in ZONES]
        for entry in self.entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())
        self.stopped = threading.Event()
        self.statuses: list[int] = []

    def ask_for_ever(self, entry: EntryProcess) -> None:
        while not self.stopped.is_set():
            number = next(self.numbers)
            path = "/search/x" if number % 3 else "/once/x"
            self.statuses.append(entry.ask(path, f"r{number}").status)

    def load(self) -> None:
        """Begin to ask at each entry until the test ends."""
        callers = [
            threading.Thread(target=self.ask_for_ever, args=(entry,), daemon=True)
            for entry in self.entries
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
            self.addCleanup(caller.join, 30.0)
        self.addCleanup(self.stopped.set)

    def arrivals(self, zone: str) -> int:
        searchers = self.deployment.searchers.values()
        return sum(len(one.arrivals) for one in searchers if one.zone == zone)

    def new_arrivals(self, zone: str) -> int:
        """Count what comes to a domain from now on, for a while."""
        before = self.arrivals(zone)
        time.sleep(LOAD_S)
        return self.arrivals(zone) - before

    def wait_told(self, event: str) -> None:
        for entry in self.entries:
            self.assertTrue(entry.wait_log(f"event={event} failure_domain=hall-b"), entry.log())

    def evacuate(self) -> None:
        self.deployment.put("op/evacuate/hall-b", {})
        self.wait_told("domain-evacuated")
        time.sleep(IN_FLIGHT_S)

    def test_an_evacuated_domain_gets_nothing_new_until_it_is_taken_back(self):
        self.load()
        self.assertTrue(wait_until(lambda: self.arrivals("hall-b") > 0))
        self.evacuate()
        self.assertEqual(self.new_arrivals("hall-b"), 0)
        self.assertTrue(wait_until(lambda: self.new_arrivals("hall-a") > 0))
        self.assertEqual(self.new_arrivals("hall-b"), 0)
        self.assertEqual(set(self.statuses), {200})
        self.assertIn("rhubarbhinge_evacuated_domains 1", self.entries[0].metrics())
        self.deployment.delete("op/evacuate/hall-b")
        self.wait_told("domain-restored")
        self.assertTrue(wait_until(lambda: self.new_arrivals("hall-b") > 0))
        self.assertEqual(set(self.statuses), {200})

    def test_an_outage_does_not_undo_it_and_a_starting_entry_hears_it(self):
        self.evacuate()
        self.deployment.turn_away(self.entries[0])
        self.deployment.turn_away(self.entries[2])
        late = self.deployment.start_entry(zone="hall-b", store_up=False)
        self.assertTrue(wait_until(late.is_ready), late.log())
        self.entries.append(late)
        self.load()
        self.assertEqual(self.new_arrivals("hall-b"), 0)
        self.assertEqual(set(self.statuses), {200})

    def test_without_any_searcher_left_requests_are_refused_at_once(self):
        for zone in ZONES:
            self.deployment.put(f"op/evacuate/{zone}", {})
        self.wait_told("domain-evacuated")
        for entry in self.entries:
            for zone in ZONES:
                told = f"event=domain-evacuated failure_domain={zone}"
                self.assertTrue(entry.wait_log(told), entry.log())
            for path in ("/search/x", "/once/x"):
                answer = entry.ask(path, f"r{next(self.numbers)}")
                self.assertEqual(answer.status, 503, entry.log())
                self.assertIn("retry-after", answer.headers)
        self.assertEqual(sum(self.arrivals(zone) for zone in ZONES), 0)
