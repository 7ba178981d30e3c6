"""One process of each stand-in, driven over HTTP."""

import tempfile
import unittest

from standins import records
from standins.fleet import Fleet, call

SEARCH = {
    "call": "e1.1.1.0",
    "collection": "overhauls",
    "version": 41,
    "lo": 0,
    "hi": 8192,
    "text": "bearing",
    "limit": 3,
    "deadline_ms": 5000,
}


class SearcherProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(folder.name)
        self.addCleanup(self.fleet.stop)
        holdings = {"overhauls": {"41": [[0, 8192]]}}
        config = {"searchers": [{"name": "a", "holdings": holdings}, {"name": "b"}]}
        self.process = self.fleet.searchers("searchers", config)

    def test_search_gives_what_the_records_say(self):
        answer = call(self.process.port("a"), "/search", SEARCH)
        self.assertEqual(answer["call"], "e1.1.1.0")
        self.assertEqual(answer["records"], records.record_count("overhauls", 41, 0, 8192))
        wanted = records.hits("overhauls", 41, 0, 8192, "bearing", 3)
        self.assertEqual(answer["hits"], list(wanted))

    def test_history_holds_a_run_when_killed_after_its_answer(self):
        body = {"ticket": "t1", "action": "parts-order", "body": {}, "deadline_ms": 5000}
        answer = call(self.process.port("b"), "/run", body)
        self.assertEqual(answer["ticket"], "t1")
        self.process.kill()
        runs = [event for event in self.process.history() if event["event"] == "run"]
        self.assertEqual([(run["searcher"], run["ticket"]) for run in runs], [("b", "t1")])


class PlatformProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(folder.name)
        self.addCleanup(self.fleet.stop)
        self.port = self.fleet.platform().port()

    def test_publish_and_get(self):
        call(self.port, "/standin/publish?key=rules", {"revision": 4})
        self.assertEqual(call(self.port, "/v1/config/rules"), {"revision": 4})
        self.assertEqual(call(self.port, "/v1/config/rules?after=3&wait_ms=9"), {"revision": 4})
        self.assertIsNone(call(self.port, "/v1/config/rules?after=4&wait_ms=9"))
        figures = call(self.port, "/standin/stats")["figures"]
        self.assertEqual(figures["calls"], {"rules": {"127.0.0.1": 3}})
