"""An entry that is held up for seven seconds, as when its VM is suspended.

What it missed: a configuration, a searcher that left, and a request that was found to end its
searchers. All that was due comes at once when it goes on: leases, heartbeats, its watch, requests
that have waited in its sockets. It has to serve by what holds now, within the second that a
heartbeat takes, and must not take the others for lost.
"""

import signal
import tempfile
import time
import unittest
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Deployment, configuration

SHARDS = ("a", "b", "c")
HELD_UP_S = 7.0
CAUGHT_UP_S = 2.0
"""The entry may take so long to learn what it missed: a heartbeat and a list of the store."""


class SuspensionTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.deployment.put("op/config", configuration(3, SHARDS, {}, {}, 500))
        for shard in SHARDS:
            for place in range(4):
                name = f"i-{shard}-{place}"
                self.deployment.add_searcher(name, shard, born=int(1e12)).delay_ms = 20.0
        self.entries = [self.deployment.start_entry() for _ in range(3)]
        for entry in self.entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())
            self.assertTrue(entry.wait_log("event=searchers-listed"), entry.log())
            self.assertTrue(wait_until(lambda e=entry: 'alive"} 2' in e.metrics()), entry.log())

    def arrived(self) -> set[str]:
        searchers = self.deployment.searchers.values()
        return {name for searcher in searchers for name in searcher.arrivals}

    def test_it_serves_by_what_holds_when_it_goes_on(self):
        awake, _, held_up = self.entries
        ended: dict[str, list[float]] = {}
        self.deployment.end_on("fatal", 60.0, ended)
        held_up.signal(signal.SIGSTOP)
        self.assertEqual(awake.ask("/search/fatal", "fatal-1").status, 502)
        self.assertGreaterEqual(len(ended["/search/fatal"]), 3)
        leaving = next(one for one in self.deployment.searchers.values() if not one.begun)
        self.deployment.delete(f"servers/{leaving.incarnation}")
        self.deployment.put("op/config", configuration(4, SHARDS, {}, {"new": "a"}, 500))
        time.sleep(HELD_UP_S)
        held_up.signal(signal.SIGCONT)
        time.sleep(CAUGHT_UP_S)
        before = len(leaving.arrivals)
        answer = held_up.ask("/search/fatal", "fatal-2")
        self.assertEqual(answer.status, 503, held_up.log())
        self.assertNotIn("fatal-2", self.arrived())
        for number in range(20):
            self.assertEqual(held_up.ask("/search/x", f"r-{number}").status, 200, held_up.log())
        self.assertEqual(held_up.ask("/new/x", "new-1").status, 200, held_up.log())
        self.assertEqual(len(leaving.arrivals), before)
        for entry in self.entries:
            self.assertIsNone(entry.popen.poll(), entry.log())
            self.assertIn('alive"} 2', entry.metrics())
