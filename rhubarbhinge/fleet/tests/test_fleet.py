"""Published and observed searchers, and the choice among them."""

import random
import unittest

from msgspec.structs import replace

from rhubarbhinge.fleet import Delays, Fleet, Searcher, SearcherStart, best_searcher, expected_cost

ONE = Searcher("i-1", "shard", "10.0.0.1", 80, "hall-a", 2)
TWO = Searcher("i-2", "shard", "10.0.0.2", 80, "hall-a", 2)


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 1_000.0
        self.left: list[str] = []
        self.fleet = Fleet(
            lambda: self.now_ms, lambda observed: self.left.append(observed.searcher.incarnation)
        )
        self.fleet.put(ONE)
        self.fleet.put(TWO)

    def usable(self) -> list[str]:
        return [one.searcher.incarnation for one in self.fleet.of_service("shard") if one.usable]

    def test_draining_is_irreversible(self):
        self.fleet.put(replace(ONE, draining=True))
        self.fleet.put(replace(ONE, draining=False))
        self.assertEqual(self.usable(), ["i-2"])
        self.assertEqual(self.left, ["i-1"])

    def test_a_searcher_marked_gone_stays_unusable(self):
        observed = next(iter(self.fleet.of_service("shard")))
        self.fleet.mark_gone(observed)
        self.fleet.mark_gone(observed)
        self.fleet.put(replace(ONE, warmup_ms=5.0))
        self.assertEqual(self.usable(), ["i-2"])
        self.assertEqual(self.left, ["i-1"])

    def test_removal_is_reported_once(self):
        self.fleet.remove("i-1")
        self.fleet.remove("i-1")
        self.assertEqual(self.left, ["i-1"])
        self.assertEqual(self.usable(), ["i-2"])

    def test_searchers_are_usable_again_after_an_evacuation(self):
        self.fleet.put(replace(TWO, failure_domain="hall-b"))
        self.fleet.set_evacuated("hall-b", True)
        self.fleet.put(Searcher("i-3", "shard", "10.0.0.3", 80, "hall-b", 2))
        self.assertEqual((self.usable(), self.left), (["i-1"], ["i-2"]))
        self.assertFalse(any(one.is_leaving for one in self.fleet.all()))
        self.fleet.set_evacuated("hall-a", True)
        self.assertFalse(self.fleet.is_published("shard"))
        self.fleet.set_evacuated("hall-a", False)
        self.fleet.set_evacuated("hall-b", False)
        self.assertEqual(self.usable(), ["i-1", "i-2", "i-3"])

    def test_a_searcher_that_drains_during_an_evacuation_stays_unusable(self):
        self.fleet.set_evacuated("hall-a", True)
        self.fleet.put(replace(ONE, draining=True))
        self.fleet.set_evacuated("hall-a", False)
        self.assertEqual(self.usable(), ["i-2"])

    def test_a_service_is_reachable_while_one_searcher_is(self):
        one, two = self.fleet.of_service("shard")
        one.on_unreachable()
        self.assertTrue(self.fleet.is_reachable("shard"))
        two.on_unreachable()
        self.assertFalse(self.fleet.is_reachable("shard"))
        two.on_connected(1_000.0)
        self.assertTrue(self.fleet.is_reachable("shard"))
        self.assertFalse(self.fleet.is_reachable("unknown"))


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(lambda: 1_000.0, lambda observed: None)
        self.fleet.put(ONE)
        self.fleet.put(TWO)
        self.one, self.two = self.fleet.of_service("shard")
        self.cost = expected_cost("hall-a", random.Random(1))

    def chosen(self, now_ms: float = 1_000.0, tried: tuple[SearcherStart, ...] = ()) -> str | None:
        found = best_searcher(self.fleet.of_service("shard"), self.cost, 40.0, now_ms, tried)
        return found.searcher.incarnation if found else None

    def test_a_busy_searcher_is_not_preferred(self):
        self.one.on_sent(1, 1_000.0)
        self.one.on_sent(2, 1_000.0)
        self.assertEqual(self.chosen(), "i-2")

    def test_a_slow_searcher_is_not_preferred_until_its_slowness_decays(self):
        for attempt in range(6):
            self.one.on_sent(attempt, 1_000.0)
            self.one.on_reply(attempt, 400.0, 40.0, 1_000.0)
        self.two.on_sent(9, 1_000.0)
        self.assertEqual(self.chosen(), "i-2")
        self.two.on_sent(10, 40_000.0)
        self.assertEqual(self.chosen(40_000.0), "i-1")

    def test_a_refusing_searcher_is_not_preferred_although_it_replies_fast(self):
        for attempt in range(4):
            self.one.on_sent(attempt, 1_000.0)
            self.one.on_refused(attempt, 1_000.0)
        self.two.on_sent(9, 1_190.0)
        self.assertEqual(self.chosen(1_200.0), "i-2")

    def test_a_searcher_with_an_overdue_reply_is_not_preferred(self):
        self.one.on_sent(1, 1_000.0)
        self.two.on_sent(2, 1_190.0)
        self.assertEqual(self.chosen(1_200.0), "i-2")

    def test_down_draining_and_tried_searchers_are_excluded(self):
        self.one.on_unreachable()
        self.assertEqual(self.chosen(), "i-2")
        self.assertIsNone(self.chosen(tried=(TWO.start,)))
        self.fleet.put(replace(TWO, draining=True))
        self.assertIsNone(self.chosen())

    def test_local_searchers_are_preferred_at_equal_load(self):
        self.fleet.put(replace(ONE, failure_domain="hall-b"))
        self.assertEqual({self.chosen() for _ in range(20)}, {"i-2"})

    def test_a_remote_searcher_is_preferred_to_a_much_slower_local_one(self):
        self.fleet.put(replace(ONE, failure_domain="hall-b"))
        for slowness, expected in ((1.4, "i-2"), (1.8, "i-1"), (3.0, "i-1")):
            for attempt in range(12):
                self.two.on_sent(attempt, 1_000.0)
                self.two.on_reply(attempt, slowness * 40.0, 40.0, 1_000.0)
            self.assertEqual({self.chosen() for _ in range(20)}, {expected})

    def test_an_urgent_search_avoids_a_slow_local_searcher(self):
        """Guards against hedges that exhaust the retry budget.

        Scenario: one seventh of all searchers, spread over all shards, are slow for a few seconds.
        Each entry uses one of them again about every two seconds and then hedges. If the slow local
        searcher stays the first choice, the hedges exhaust the retry budget and shards are missing
        from answers.
        """
        self.fleet.put(replace(ONE, failure_domain="hall-b"))
        self.two.on_sent(1, 1_000.0)
        self.two.on_cancelled(1, 50.0, 8.0, 1_000.0)
        found = {
            best_searcher(
                self.fleet.of_service("shard"), self.cost, 8.0, 2_000.0
            ).searcher.incarnation
            for _ in range(20)
        }
        self.assertEqual(found, {"i-1"})

    def test_a_local_searcher_is_used_again_after_a_single_pause(self):
        self.fleet.put(replace(ONE, failure_domain="hall-b"))
        self.two.on_sent(1, 1_000.0)
        self.two.on_cancelled(1, 30.0, 17.0, 1_000.0)
        self.assertEqual({self.chosen() for _ in range(20)}, {"i-2"})

    def test_a_cancelled_request_counts_with_the_time_waited(self):
        self.one.on_sent(1, 1_000.0)
        self.one.on_cancelled(1, 400.0, 40.0, 1_400.0)
        self.assertGreater(self.one.slowness(1_400.0), 2.0)


class DelaysTest(unittest.TestCase):
    def test_the_assumed_latency_is_used_until_enough_samples(self):
        delays = Delays(40.0)
        delays.add(1.0)
        self.assertEqual(delays.quantile(0.5), 40.0)
        self.assertGreater(delays.quantile(0.9), 40.0)

    def test_quantiles_follow_the_window(self):
        delays = Delays(40.0)
        for delay_ms in range(100):
            delays.add(float(delay_ms))
        self.assertAlmostEqual(delays.quantile(0.9), 90.0, delta=2.0)
        for _ in range(400):
            delays.add(5.0)
        self.assertEqual(delays.quantile(0.9), 5.0)
