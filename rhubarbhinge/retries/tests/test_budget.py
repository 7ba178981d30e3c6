"""Retry budget shared by all processes."""

import random
import unittest

from rhubarbhinge.retries import BudgetRule, RetryBudget

RULE = BudgetRule(ratio=0.2, slack=56.0, window_ms=10_000.0)


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.processes = 8
        self.budget = RetryBudget(RULE, lambda: self.now_ms, lambda: self.processes)

    def test_without_requests_only_the_share_of_the_slack_is_available(self):
        self.assertEqual(sum(self.budget.take("s") for _ in range(50)), 7)

    def test_requests_add_budget_in_proportion(self):
        for _ in range(100):
            self.budget.on_request(("s", "t"))
        self.assertEqual(sum(self.budget.take("s") for _ in range(50)), 27)
        self.assertEqual(sum(self.budget.take("t") for _ in range(50)), 27)

    def test_remaining_budget_and_refusals_are_reported(self):
        self.assertEqual(self.budget.min_left(), 0.0)
        self.budget.on_request(("s", "t"))
        while self.budget.take("s"):
            pass
        self.assertEqual((self.budget.granted, self.budget.refused), (7, 1))
        self.assertLess(self.budget.min_left(), 1.0)
        self.assertGreater(self.budget.left("t"), 7.0)

    def test_spent_budget_is_restored_after_the_window(self):
        while self.budget.take("s"):
            pass
        self.now_ms = 9_900.0
        self.assertFalse(self.budget.take("s"))
        self.now_ms = 11_100.0
        self.assertTrue(self.budget.take("s"))

    # Each process that started had a share of the slack that the one before it had used already.
    def test_no_window_exceeds_the_limit_while_processes_are_restarted(self):
        rng = random.Random(7)
        live: dict[int, RetryBudget] = {}
        stopped: dict[int, float] = {}
        requests: list[float] = []
        extras: list[float] = []

        def start(vm: int) -> None:
            live[vm] = RetryBudget(RULE, lambda: self.now_ms, lambda: len(live))

        for vm in range(6):
            start(vm)
        for _ in range(12_000):
            self.now_ms += rng.expovariate(1 / 8.0)
            for budget in live.values():
                budget.observe_processes()
            if rng.random() < 0.006 and len(live) > 4:
                vm = rng.choice(list(live))
                del live[vm]
                stopped[vm] = self.now_ms
            for vm in [vm for vm, since_ms in stopped.items() if self.now_ms > since_ms + 600.0]:
                del stopped[vm]
                start(vm)
            budget = rng.choice(list(live.values()))
            if rng.random() < 0.2:
                budget.on_request(("s",))
                requests.append(self.now_ms)
            elif budget.take("s"):
                extras.append(self.now_ms)
        self.check_windows(requests, extras)

    def test_shares_grow_only_once_the_sends_of_a_process_that_left_are_out_of_the_window(self):
        self.budget.observe_processes()
        self.processes = 7
        self.assertEqual(sum(self.budget.take("s") for _ in range(50)), 7)
        self.now_ms = 10_600.0
        self.assertEqual(sum(self.budget.take("s") for _ in range(50)), 8)

    def test_no_window_of_all_processes_exceeds_the_limit(self):
        rng = random.Random(5)
        budgets = [RetryBudget(RULE, lambda: self.now_ms, lambda: 8) for _ in range(8)]
        requests: list[float] = []
        extras: list[float] = []
        for _ in range(6_000):
            self.now_ms += rng.expovariate(1 / 8.0)
            budget = rng.choice(budgets)
            if rng.random() < 0.4:
                budget.on_request(("s",))
                requests.append(self.now_ms)
            elif budget.take("s"):
                extras.append(self.now_ms)
        self.check_windows(requests, extras)

    def check_windows(self, requests: list[float], extras: list[float]) -> None:
        for start in range(0, int(self.now_ms), 500):
            window = sum(start <= at < start + RULE.window_ms for at in extras)
            asked = max(
                sum(from_ms <= at < from_ms + RULE.window_ms for at in requests)
                for from_ms in (start, start - RULE.window_ms / 2, start - RULE.window_ms)
            )
            self.assertLessEqual(window, RULE.ratio * asked + RULE.slack)
