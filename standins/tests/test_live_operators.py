"""Entries as processes on a stand-in of the operators' platform."""

import signal
import socket
import tempfile
import threading
import unittest
from pathlib import Path

from standins.fleet import wait_until
from standins.operators import Deployment, EntryProcess, Searcher, configuration

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")


def config(version: int, shards: tuple[str, ...] = SHARDS, **added: str) -> dict:
    """Make a configuration: a search, a fetch that may not repeat, and more routes to services."""
    return configuration(version, shards, {"once": "store"}, added, 2_000)


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = Deployment(Path(folder.name))
        self.addCleanup(self.deployment.close)
        self.deployment.put("op/config", config(3))
        for service in (*SHARDS, "store"):
            for place in (1, 2):
                self.deployment.add_searcher(f"i-{service}-{place}", service)

    def start(self, count: int = 1, read_log: bool = True) -> list[EntryProcess]:
        entries = [self.deployment.start_entry(read_log) for _ in range(count)]
        for entry in entries:
            self.assertTrue(wait_until(entry.is_ready), entry.log())
            if read_log:
                self.assertTrue(entry.wait_log("event=searchers-listed searchers=10"), entry.log())
        return entries

    def wait_current(self, entry: EntryProcess) -> None:
        """Wait until an entry knows that its configuration is the newest.

        Until then, up to a second after its start, it has listed what may be some seconds old, and
        refuses what no route takes in place of saying that there is none.
        """

        def status() -> int:
            answer = entry.ask("/none/x", "unknown")
            self.assertIn(answer.status, (404, 503), entry.log())
            self.assertEqual("retry-after" in answer.headers, answer.status == 503)
            return answer.status

        self.assertTrue(wait_until(lambda: status() == 404), entry.log())

    def searcher(self, service: str, place: int = 1) -> Searcher:
        return self.deployment.searchers[f"i-{service}-{place}"]

    def check_search(self, entry: EntryProcess, request_id: str, shards=SHARDS) -> None:
        answer = entry.ask("/search/x", request_id)
        self.assertEqual(answer.status, 200, entry.log())
        records = [one for name in shards for one in Searcher.records(name, request_id)]
        self.assertEqual(answer.body, b"".join(sorted(records, reverse=True)[:7]))
        signatures = answer.headers["x-part-seals"].split(", ")
        self.assertEqual(sorted(signatures), sorted(f"{name}.{request_id}" for name in shards))

    def test_a_search_and_a_fetch(self):
        (entry,) = self.start()
        self.check_search(entry, "r1")
        answer = entry.ask("/once/x", "r2")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["x-response-seal"], "store.r2")
        self.assertEqual(answer.body, b"".join(Searcher.records("store", "r2")))
        self.wait_current(entry)
        self.assertEqual(entry.ask("/none/x", "r3").status, 404)
        metrics = entry.metrics()
        for name in (
            "query_latency_ms",
            "loop_lag_ms",
            "searcher_connections",
            "requests_waiting",
            "extra_sends_left",
            "platform_calls_total",
            "log_lines_dropped_total",
        ):
            self.assertIn(f"rhubarbhinge_{name}", metrics)

    def test_a_configuration_is_followed_and_never_taken_back(self):
        (entry,) = self.start()
        self.deployment.add_searcher("i-new", "new")
        self.deployment.put("op/config", config(5, added="new"))
        self.assertTrue(wait_until(lambda: entry.ask("/added/x", "r1").status == 200), entry.log())
        self.deployment.put("op/config", config(4))
        self.deployment.add_searcher("i-later", "new")
        self.assertTrue(entry.wait_log("searcher=i-later"), entry.log())
        self.assertEqual(entry.ask("/added/x", "r2").status, 200)

    def test_shards_are_cut_anew_under_searches(self):
        (entry,) = self.start()
        self.check_search(entry, "r1")
        fresh = tuple(f"fresh-{place}" for place in range(6))
        for service in fresh:
            self.deployment.add_searcher(f"i-{service}", service)
        self.deployment.put("op/config", config(9, fresh))
        self.assertTrue(entry.wait_log("event=plan-adopted version=9"), entry.log())
        self.check_search(entry, "r2", fresh)

    def test_a_draining_searcher_gets_nothing_new(self):
        (entry,) = self.start()
        leaving = self.searcher("store")
        self.deployment.put(f"servers/{leaving.incarnation}", leaving.entry(draining=True))
        self.assertTrue(entry.wait_log("draining=true"), entry.log())
        before = len(leaving.arrivals)
        for number in range(10):
            self.assertEqual(entry.ask("/once/x", f"r{number}").status, 200)
        self.assertEqual(len(leaving.arrivals), before)

    def test_lost_history_is_listed_again(self):
        (entry,) = self.start()

        self.deployment.forget_history("servers/i-store-1")
        self.assertTrue(entry.wait_log("event=searcher-gone searcher=i-store-1"), entry.log())
        self.assertEqual(entry.ask("/once/x", "r1").status, 200)

    def test_refusals_by_all_searchers_are_not_run(self):
        (entry,) = self.start()
        for place in (1, 2):
            self.searcher("store", place).refuses = True
        answer = entry.ask("/once/x", "r1")
        self.assertEqual(answer.status, 503, entry.log())
        self.assertIn("retry-after", answer.headers)
        for place in (1, 2):
            self.assertEqual(self.searcher("store", place).ran, [])

    def test_a_caller_that_leaves_stops_every_searcher(self):
        (entry,) = self.start()
        for service in SHARDS:
            for place in (1, 2):
                self.searcher(service, place).delay_ms = 60_000.0
        self.assertEqual(entry.ask("/search/x", "r1", leave_s=0.5).status, 0)
        everyone = [self.searcher(name, place) for name in SHARDS for place in (1, 2)]

        def stopped() -> bool:
            started = sum(len(one.arrivals) for one in everyone)
            return started > 0 and sum(len(one.left) for one in everyone) == started

        self.assertTrue(wait_until(stopped), entry.log())

    # SIGHUP ended an entry that had not loaded its program yet.
    def test_a_change_of_settings_during_the_start_does_not_end_the_entry(self):
        entry = self.deployment.start_entry()

        def is_listening() -> bool:
            with socket.socket() as sock:
                return sock.connect_ex((entry.ip, entry.callers)) == 0

        self.assertTrue(wait_until(is_listening))
        entry.signal(signal.SIGHUP)
        self.assertTrue(wait_until(entry.is_ready), entry.log())

    def test_a_stop_answers_what_is_in_flight(self):
        (entry,) = self.start()
        for place in (1, 2):
            self.searcher("store", place).delay_ms = 1_500.0
        answers = []
        thread = threading.Thread(target=lambda: answers.append(entry.ask("/once/x", "r1")))
        thread.start()
        arrived = wait_until(
            lambda: any("r1" in self.searcher("store", place).arrivals for place in (1, 2))
        )
        self.assertTrue(arrived)
        entry.signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: not entry.is_ready()))
        self.assertEqual(entry.ask("/search/x", "r2").status, 200)
        thread.join(20.0)
        self.assertEqual(answers[0].status, 200, entry.log())
        self.assertEqual(entry.stop(), 0)
        self.assertIn("event=stopped open_requests=0 late=false", entry.log())

    # Requests that were open at the end of the grace time were cut without an answer.
    def test_a_stop_answers_what_takes_longer_than_the_grace_time(self):
        (entry,) = self.start()
        for place in (1, 2):
            self.searcher("store", place).delay_ms = 60_000.0
        entry.write_settings(grace=2)
        entry.signal(signal.SIGHUP)
        self.assertTrue(entry.wait_log("event=settings-reloaded"), entry.log())
        answers = []
        threads = [
            threading.Thread(target=lambda name=name: answers.append(entry.ask("/once/x", name)))
            for name in ("r1", "r2", "r3")
        ]
        for thread in threads:
            thread.start()
        everyone = [self.searcher("store", place) for place in (1, 2)]
        self.assertTrue(wait_until(lambda: sum(len(one.arrivals) for one in everyone) == 3))
        entry.signal(signal.SIGTERM)
        for thread in threads:
            thread.join(20.0)
        self.assertEqual([502] * 3, [one.status for one in answers], entry.log())
        self.assertEqual(entry.stop(), 0)
        self.assertIn("event=stopped open_requests=0", entry.log())

    def test_one_entry_of_a_domain_reads_for_the_others(self):
        first, second = self.start(2)
        self.assertTrue(second.wait_log("event=reader-chosen reader=vm-1"), second.log())
        before = self.deployment.stores[second.name].calls
        for version in range(5, 15):
            self.deployment.put("op/config", config(version))
            adopted = f"event=plan-adopted version={version} "
            self.assertTrue(second.wait_log(adopted), second.log())
        leaving = self.searcher("store")
        self.deployment.put(f"servers/{leaving.incarnation}", leaving.entry(draining=True))
        self.assertTrue(second.wait_log("draining=true"), second.log())
        self.assertEqual(self.deployment.stores[second.name].calls, before)
        first.popen.kill()
        self.deployment.put("op/config", config(20))
        self.assertTrue(second.wait_log("event=plan-adopted version=20 "), second.log())

    def test_an_entry_that_the_store_turns_away_learns_from_its_peers(self):
        first, second = self.start(2)
        self.assertTrue(first.wait_log("event=peer-regained"), first.log())
        # The first one reads for both; turned away it has to learn from the second.
        self.deployment.turn_away(first)
        self.deployment.put("op/config", config(7))
        self.assertTrue(second.wait_log("event=plan-adopted version=7"), second.log())
        self.assertTrue(first.wait_log("event=plan-adopted version=7"), first.log())
        self.assertIn("event=platform-lost", first.log())
        third = self.deployment.start_entry(store_up=False)
        self.assertTrue(wait_until(third.is_ready), third.log())

    def test_entries_of_two_domains_know_each_other_and_lose_a_killed_one(self):
        zones = ("hall-a", "hall-a", "hall-b", "hall-b")
        entries = [self.deployment.start_entry(zone=zone) for zone in zones]
        for entry in entries:
            for other in entries:
                if other is not entry:
                    known = f"event=peer-regained peer={other.name} "
                    self.assertTrue(entry.wait_log(known), entry.log())
        killed, *others = entries
        killed.popen.kill()
        for entry in others:
            self.assertTrue(entry.wait_log(f"event=peer-lost peer={killed.name} "), entry.log())
            self.assertNotIn("event=bad-heartbeat", entry.log())

    def test_settings_are_read_again_and_faulty_ones_are_refused(self):
        (entry,) = self.start()
        entry.write_settings(ratio=0.3)
        entry.signal(signal.SIGHUP)
        self.assertTrue(entry.wait_log("changed=retry_budget"), entry.log())
        entry.write_settings("broken = = 1")
        self.assertTrue(entry.wait_log("event=settings-refused"), entry.log())
        self.check_search(entry, "r1")

    def test_an_entry_whose_output_nobody_reads_serves_on(self):
        (entry,) = self.start(read_log=False)
        self.wait_current(entry)
        for number in range(400):
            self.assertEqual(entry.ask("/none/x", f"r{number}").status, 404)
        self.check_search(entry, "last")
