"""Tests for reachability and readiness shared in a failure domain, with 20 entries in it.

Guards against callers that stay with entries of a partitioned domain: at 15 requests per second in
72 entries most have had none in their window, and the load balancer moves the callers of a domain
only once no entry of it is ready.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.gateway._domain_checks import REPORT_INTERVAL_MS, SAMPLE_SIZE, VERIFY_TIMEOUT_MS
from rhubarbhinge.gateway.tests.simulated_domain import SHARDS, Deployment, Entry, FakePool, View
from rhubarbhinge.utils.fake_timers import FakeTimers

NAMES = [f"a-{number:02d}" for number in range(20)]
OTHERS = ("hall-b", "hall-c")


def find_unreachable(entry: Entry) -> None:
    """Let an entry find by its own searches that the other domains are silent."""
    for domain in OTHERS:
        entry.view.checks.suspect(domain)


class SharedReachabilityTest(unittest.TestCase):
    def deployment(self, searcher_domains=OTHERS) -> Deployment:
        deployment = Deployment({"hall-a": NAMES}, searcher_domains)
        for name in NAMES:
            deployment.start(name)
        deployment.advance(5_000.0)
        self.first = deployment.nodes[NAMES[0]]
        return deployment

    def partitioned(self) -> Deployment:
        """One entry has had requests, and finds out about the partition."""
        deployment = self.deployment()
        self.first.requests = {"search": 2}
        deployment.is_cut = lambda entry, domain: domain in OTHERS
        find_unreachable(self.first)
        return deployment

    def ready(self, deployment: Deployment) -> int:
        return sum(entry.state.is_serving for entry in deployment.entries)

    def test_no_entry_of_a_partitioned_domain_is_ready_though_one_had_requests(self):
        deployment = self.partitioned()
        deployment.advance(200.0)
        self.assertEqual({entry.view.down() for entry in deployment.entries}, {40})
        deployment.advance(800.0)
        self.assertEqual(self.ready(deployment), 0)

    def test_lost_heartbeats_and_the_end_of_the_reporter_delay_the_report_only(self):
        deployment = self.partitioned()
        deployment.loss = 0.3
        deployment.advance(100.0)
        self.first.kill()
        deployment.advance(1_200.0)
        self.assertEqual({entry.view.down() for entry in deployment.entries[1:]}, {40})

    def test_entries_stay_not_ready_after_callers_have_left_and_return_once(self):
        deployment = self.partitioned()
        reporters = deployment.entries[::2]
        for entry in reporters:
            entry.requests = {"search": 1}
        deployment.advance(1_000.0)
        for entry in reporters:
            entry.requests = {}
        deployment.nodes[NAMES[7]].kill()
        deployment.advance(15_000.0)
        # An entry that starts has had no request, and would get those of the whole domain.
        deployment.start(NAMES[7])
        deployment.advance(3_000.0)
        self.assertEqual(self.ready(deployment), 0)
        deployment.is_cut = lambda entry, domain: False
        deployment.advance(300.0)
        self.assertEqual(self.ready(deployment), len(NAMES))
        deployment.advance(3_000.0)
        for entry in deployment.entries:
            self.assertEqual((entry.changes[-3:], entry.view.down()), ([True, False, True], 0))

    def test_entry_that_is_cut_off_alone_takes_nothing_out_of_use_elsewhere(self):
        deployment = self.deployment()
        for entry in deployment.entries:
            entry.requests = {"search": 1}
        deployment.is_cut = lambda entry, domain: entry is self.first and domain in OTHERS
        find_unreachable(self.first)
        for _ in range(40):
            deployment.advance(100.0)
            others = [entry for entry in deployment.entries if entry is not self.first]
            self.assertEqual({entry.view.down() for entry in others}, {0})
        self.assertFalse(self.first.state.is_serving)
        self.assertEqual(self.ready(deployment), len(NAMES) - 1)
        checks = max(entry.view.checks.checks_by_report for entry in others)
        self.assertLessEqual(checks, 5 * len(OTHERS))

    def test_nothing_is_shared_within_a_single_domain(self):
        deployment = self.deployment(searcher_domains=("hall-a",))
        self.first.requests = {"search": 2}
        deployment.is_cut = lambda entry, domain: True
        self.first.view.checks.suspect("hall-a")
        deployment.advance(1_500.0)
        self.assertFalse(self.first.state.is_serving)
        self.assertEqual(self.ready(deployment), len(NAMES) - 1)
        self.first.requests = {}
        deployment.advance(500.0)
        self.assertEqual(self.ready(deployment), len(NAMES))


class FalseReportTest(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from((*OTHERS, "hall-x")),
                st.floats(0.0, 1_500.0),
                st.floats(0.0, 80.0),
            ),
            max_size=20,
        ),
        connect_ms=st.lists(st.floats(0.5, 29.0), min_size=1, max_size=5),
        full=st.sets(st.integers(0, 2 * len(SHARDS) - 1)),
    )
    def test_false_report_never_takes_a_searcher_out_of_use(self, steps, connect_ms, full):
        # Searchers are slow to accept or at their limit of connections, and the process is held up.
        timers = FakeTimers()
        pool = FakePool(timers, lambda one: False, lambda one: known.index(one) in full)
        view = View(timers, pool, OTHERS, random.Random(1))
        known = list(view.searchers.all())
        pool.connect_ms = lambda one: connect_ms[known.index(one) % len(connect_ms)]
        started_ms: dict[str, float] = {}
        for domain, wait_ms, held_up_ms in steps:
            before = view.checks.checks_by_report
            opened = len(pool.opened)
            view.checks.on_report(domain, "a-01")
            if view.checks.checks_by_report > before:
                since_ms = timers.now_ms() - started_ms.get(domain, float("-inf"))
                self.assertGreaterEqual(since_ms, REPORT_INTERVAL_MS)
                started_ms[domain] = timers.now_ms()
            self.assertLessEqual(len(pool.opened) - opened, SAMPLE_SIZE)
            timers.stall(held_up_ms)
            timers.advance(wait_ms)
            self.assertEqual((view.down(), pool.suspended, view.checks.unreachable()), (0, [], ()))

    def test_report_of_a_domain_without_spare_connections_proves_nothing(self):
        timers = FakeTimers()
        pool = FakePool(timers, lambda one: True, lambda one: True)
        view = View(timers, pool, OTHERS, random.Random(1))
        view.checks.on_report("hall-b", "a-01")
        timers.advance(100.0)
        self.assertEqual((view.down(), view.checks.checks_by_report), (0, 0))

    def test_check_of_a_held_up_process_reads_what_has_arrived_first(self):
        timers = FakeTimers()
        pool = FakePool(timers, lambda one: False)
        pool.connect_ms = lambda one: VERIFY_TIMEOUT_MS + 1.0
        view = View(timers, pool, OTHERS, random.Random(1))
        view.checks.on_report("hall-b", "a-01")
        timers.stall(VERIFY_TIMEOUT_MS + 50.0)
        timers.advance(100.0)
        self.assertEqual((view.down(), pool.suspended), (0, []))
