"""A request that ends each searcher that begins it, and comes again at any entry.

Seen: every three seconds all searchers of a service ended within 250 ms, and no search was served
until they were back. It came about by one search whose execution ends the searcher. An entry sent
it to one searcher of each shard, and when these had ended to the second one, as a retry; then its
caller came back with another id, to another entry, which did the same. The cause: nothing knew a
request beyond one attempt of its caller, so that no loss said anything of the next send. What
proved it: only searchers with that search under way ended, each some milliseconds after it had
begun it, and other searches with the same shards did no harm. The test has three times as many
searchers a shard, and the same request five times a second.
"""

import tempfile
import threading
import time
import unittest
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Answer, Deployment, configuration

SHARDS = tuple(f"shard-{number}" for number in range(6))
ZONES = ("hall-a", "hall-b", "hall-a")
ENTRY_ZONES = ("hall-a", "hall-a", "hall-a", "hall-b", "hall-b")
TARGET_MS = 250
BACK_AFTER_S = 3.0
FATAL_PAUSE_S, OTHERS_PAUSE_S = 0.2, 0.05
WAIT_S, READ_S = 2.0, 20.0
"""How long callers say that they wait, and how long they read: an answer that an entry short of
processor time gives late is an answer."""
PLAY_S = 10.0
SETTLED_S = 4.0
"""So long after the third searcher has ended all entries in touch have to know the request."""
MOST_RETRIES = 3
"""Attempts of the caller that may reach searchers after that, in the life of the request."""
ENDED = 3
LEAST_SERVED = 0.9
"""Part of the other searches that is served beside it; two of three searchers of each shard are
left when the first attempt has ended one of each."""


class FatalRequestsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.deployment.put(
            "op/config",
            configuration(3, SHARDS, {"once": SHARDS[0]}, {"any": SHARDS[1]}, TARGET_MS),
        )
        now_ms = int(time.time() * 1e3)
        for shard in SHARDS:
            for place, zone in enumerate(ZONES):
                searcher = self.deployment.add_searcher(f"i-{shard}-{place}", shard, zone, now_ms)
                searcher.delay_ms = 20.0
        self.entries = [self.deployment.start_entry(zone=zone) for zone in ENTRY_ZONES]
        for entry in self.entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())
            self.assertTrue(entry.wait_log("event=searchers-listed"), entry.log())

    def ask(self, path: str, pause_s: float, until_s: float, asked: dict) -> None:
        """Send a request again and again, to the entries in turn; keep when, and the answers."""
        number = 0
        while time.monotonic() < until_s:
            request_id = f"{path.strip('/').replace('/', '-')}-{number}"
            sent_s = time.monotonic()
            entry = self.entries[number % len(self.entries)]
            asked[request_id] = (sent_s, entry.ask(path, request_id, WAIT_S, READ_S))
            number += 1
            time.sleep(max(0.0, pause_s - (time.monotonic() - sent_s)))

    def play(
        self, fatal_path: str = "/search/fatal"
    ) -> tuple[dict[str, tuple[float, Answer]], dict[str, tuple[float, Answer]]]:
        until_s = time.monotonic() + PLAY_S
        fatal, others = {}, {}
        threads = [
            threading.Thread(target=self.ask, args=args)
            for args in (
                (fatal_path, FATAL_PAUSE_S, until_s, fatal),
                ("/search/x", OTHERS_PAUSE_S, until_s, others),
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for entry in self.entries:
            self.assertIsNone(entry.popen.poll(), entry.log())
        return fatal, others

    def share_served(self, asked: dict[str, tuple[float, Answer]]) -> float:
        return sum(answer.status == 200 for _, answer in asked.values()) / len(asked)

    def test_a_request_that_ends_its_searchers_is_not_sent_on_for_ever(self):
        self.check("/search/fatal")

    def test_nor_is_one_that_goes_to_a_single_searcher(self):
        self.check("/any/fatal")

    def test_nor_is_one_that_must_not_repeat(self):
        self.check("/once/fatal")

    def check(self, fatal_path: str) -> None:
        by_path: dict[str, list[float]] = {}
        self.deployment.end_on("fatal", BACK_AFTER_S, by_path)
        fatal, others = self.play(fatal_path)
        ended = by_path[fatal_path]
        self.assertGreaterEqual(len(ended), ENDED)
        since_s = sorted(ended)[ENDED - 1] + SETTLED_S
        arrived = set()
        for searcher in self.deployment.searchers.values():
            arrived.update(searcher.arrivals)
        late = [one for one, (sent_s, _) in fatal.items() if sent_s > since_s and one in arrived]
        self.assertLessEqual(len(late), MOST_RETRIES, f"{len(ended)} searchers ended")
        self.assertGreaterEqual(self.share_served(others), LEAST_SERVED)
        begun = {one for searcher in self.deployment.searchers.values() for one in searcher.begun}
        for one, (_, answer) in fatal.items():
            self.assertIn(answer.status, (502, 503, 504))
            if answer.status == 503:
                self.assertNotIn(one, begun)
                self.assertGreater(float(answer.headers["retry-after"]), 0.0)

    def test_searches_under_which_searchers_end_for_another_cause_are_served(self):
        crashes = threading.Thread(target=self.crash_a_third)
        crashes.start()
        _, others = self.play()
        crashes.join()
        self.assertGreaterEqual(self.share_served(others), LEAST_SERVED)

    def crash_a_third(self) -> None:
        """End one searcher of each shard at once, three times."""
        for place in range(len(ZONES)):
            time.sleep(PLAY_S / 4)
            searchers = [self.deployment.searchers[f"i-{shard}-{place}"] for shard in SHARDS]
            self.deployment.end(searchers, BACK_AFTER_S)
