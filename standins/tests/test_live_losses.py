"""Searchers of many shards that are lost at once, under load: at how many each request ran.

Entries as processes search shards for one another while searchers crash, hang and refuse, and
entries are held up. What counts is what the searchers saw: at most so many of one shard began a
request as its route allows, those that crashed included.
"""

import random
import signal
import tempfile
import threading
import time
import unittest
from collections import defaultdict
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Answer, Deployment, EntryProcess, Searcher, configuration

SHARDS = tuple(f"shard-{number}" for number in range(8))
ZONES = ("hall-a", "hall-b", "hall-c")
ENTRY_ZONES = ("hall-a", "hall-a", "hall-b")
MAX_ATTEMPTS = 2
TARGET_MS = 150
WORK_MS = 30.0
CALLERS, SEARCHES = 6, 30
HELD_UP_S = 0.3
BETWEEN_TROUBLES_S = 0.4


class LossesTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.deployment.put("op/config", configuration(3, SHARDS, {}, {}, TARGET_MS))
        for shard in SHARDS:
            for place, zone in enumerate(ZONES):
                searcher = self.deployment.add_searcher(f"i-{shard}-{place}", shard, zone)
                searcher.delay_ms = WORK_MS
        self.entries = [self.deployment.start_entry(zone=zone) for zone in ENTRY_ZONES]
        for entry in self.entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())
            self.assertTrue(entry.wait_log("event=searchers-listed"), entry.log())

    def crash(self, searcher: Searcher) -> None:
        self.deployment.run(searcher.crash)

    def hang(self, searcher: Searcher) -> None:
        searcher.delay_ms = 60_000.0

    def refuse(self, searcher: Searcher) -> None:
        searcher.refuses = True

    def hold_up(self, entry: EntryProcess) -> None:
        entry.signal(signal.SIGSTOP)
        time.sleep(HELD_UP_S)
        entry.signal(signal.SIGCONT)

    def trouble(self, rng: random.Random) -> None:
        """Take one searcher of most shards away, in one of the ways, while an entry is held up."""
        for _ in range(2):
            for shard in rng.sample(SHARDS, 5):
                place = rng.randrange(len(ZONES))
                searcher = self.deployment.searchers[f"i-{shard}-{place}"]
                if searcher.port:
                    rng.choice((self.crash, self.hang, self.refuse))(searcher)
                    searcher.port = 0
            self.hold_up(rng.choice(self.entries))
            time.sleep(BETWEEN_TROUBLES_S)

    def search(self, caller: int, answers: list[Answer]) -> None:
        for number in range(SEARCHES):
            entry = self.entries[(caller + number) % len(self.entries)]
            answers.append(entry.ask("/search/x", f"r-{caller}-{number}", wait_s=2.0))

    def begun_by_shard(self) -> dict[tuple[str, str], set[str]]:
        begun: dict[tuple[str, str], set[str]] = defaultdict(set)
        for searcher in self.deployment.searchers.values():
            for request_id in searcher.begun:
                begun[request_id, searcher.service].add(searcher.incarnation)
        return begun

    def check(self, seed: int) -> None:
        answers: list[Answer] = []
        callers = [
            threading.Thread(target=self.search, args=(caller, answers))
            for caller in range(CALLERS)
        ]
        for thread in callers:
            thread.start()
        self.trouble(random.Random(seed))
        for thread in callers:
            thread.join()
        counts = [len(names) for names in self.begun_by_shard().values()]
        self.assertEqual(max(counts), MAX_ATTEMPTS)
        served = sum(answer.status == 200 for answer in answers)
        self.assertGreater(2 * served, len(answers))

    def test_no_request_runs_at_more_searchers_than_allowed_seed_1(self):
        self.check(1)

    def test_no_request_runs_at_more_searchers_than_allowed_seed_2(self):
        self.check(2)
