"""When loans are asked for, and whom, and what demand at one entry gets."""

import random
import unittest

from rhubarbhinge.retries import (
    REFUSED,
    BudgetRule,
    Loan,
    LoanRequests,
    LoanTurns,
    RetryBudget,
    Unsupported,
)
from rhubarbhinge.utils.fake_timers import FakeTimers

RULE = BudgetRule(ratio=0.2, slack=349.0, window_ms=10_000.0)
PROCESSES = 142
ENTRIES = [f"vm-{number}" for number in range(36)]
REPLY_MS = 3.0


class LoanTurnsTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.turns = LoanTurns(self.timers.now_ms, random.Random(1))

    def test_one_request_per_service_is_outstanding(self):
        self.assertIsNotNone(self.turns.choose("s", lambda: ENTRIES))
        self.assertIsNone(self.turns.choose("s", lambda: ENTRIES))
        self.assertIsNotNone(self.turns.choose("t", lambda: ENTRIES))

    def test_three_refusals_are_followed_by_a_pause(self):
        """Guards against entries that add to an overload by asking each other."""
        for _ in range(3):
            self.assertIsNotNone(self.turns.choose("s", lambda: ENTRIES))
            self.turns.on_failed("s")
        self.assertIsNone(self.turns.choose("s", lambda: ENTRIES))
        self.timers.advance(1_000.0)
        self.assertIsNotNone(self.turns.choose("s", lambda: ENTRIES))

    def test_requests_are_bounded_when_all_services_are_short(self):
        """Guards against hundreds of requests per second: a search has an extra send for each
        shard, and all entries may be short for all shards."""
        asked = 0
        for number in range(90):
            while self.turns.choose(f"s-{number}", lambda: ENTRIES) is not None:
                self.turns.on_failed(f"s-{number}")
                asked += 1
        self.assertEqual((asked, self.turns.failed), (20, 20))

    def test_all_entries_are_asked_before_one_is_asked_again(self):
        asked = []
        for _ in range(2 * len(ENTRIES)):
            asked.append(self.turns.choose("s", lambda: ENTRIES))
            self.turns.on_granted("s")
        self.assertEqual(sorted(asked[: len(ENTRIES)]), sorted(ENTRIES))
        self.assertNotEqual(asked[: len(ENTRIES)], ENTRIES)

    def test_an_entry_of_an_earlier_release_is_left_out_for_a_while(self):
        self.assertEqual(self.turns.choose("s", lambda: ["vm-1"]), "vm-1")
        self.turns.on_unsupported("vm-1")
        self.turns.on_failed("s")
        self.timers.advance(29_000.0)
        self.assertIsNone(self.turns.choose("s", lambda: ["vm-1"]))
        self.timers.advance(1_000.0)
        self.assertEqual(self.turns.choose("s", lambda: ["vm-1"]), "vm-1")


class DemandAtOneEntryTest(unittest.TestCase):
    """The first of 36 entries of a domain needs extra sends; the others need none."""

    def start(self, others: list[str], mode: str = "lend") -> None:
        self.timers = FakeTimers()
        self.mode = mode
        self.asked: list[str] = []
        self.budgets = {
            name: RetryBudget(RULE, self.timers.now_ms, lambda: PROCESSES) for name in ENTRIES
        }
        self.budget = self.budgets[ENTRIES[0]]
        self.timers.advance(13_000.0)
        self.loans = LoanRequests(
            self.budget,
            LoanTurns(self.timers.now_ms, random.Random(1)),
            lambda: others,
            self.ask,
            self.timers.now_ms,
            lambda service, entry, granted: None,
        )

    def ask(self, entry: str, service: str, on_reply) -> None:
        self.asked.append(entry)
        reply = {"refuse": REFUSED, "old": Unsupported()}.get(self.mode)
        if reply is None:
            reply = Loan(self.budgets[entry].lend(service), 2_000.0)
        self.timers.after(REPLY_MS, lambda: on_reply(reply))

    def demand(self, count: int, interval_ms: float) -> list[float]:
        """Try to send so often, each time with one repetition after a loan's usual time."""
        sent = []
        for _ in range(count):
            if not self.budget.take("s"):
                self.timers.advance(2 * REPLY_MS)
                if not self.budget.take("s"):
                    continue
            sent.append(self.timers.now_ms())
            self.timers.advance(interval_ms)
        return sent

    def test_demand_is_met_by_the_idle_entries_within_the_limit(self):
        """Guards against hedges and retries that are not sent while the fleet's budget is hardly
        used: the share of one entry is 2.5 extra sends in ten seconds."""
        self.start(ENTRIES[1:])
        sent = self.demand(30, 100.0)
        self.assertEqual(len(sent), 30)
        sent += self.demand(300, 100.0)
        worst = max(sum(0 <= at - start < RULE.window_ms for at in sent) for start in sent)
        self.assertLessEqual(worst, RULE.slack / PROCESSES * len(ENTRIES))
        self.assertEqual(self.budget.borrowed, sum(one.lent for one in self.budgets.values()))

    def test_without_peers_or_with_peers_that_lend_nothing_only_the_share_is_spent(self):
        for others, mode in (([], "lend"), (ENTRIES[1:], "refuse"), (ENTRIES[1:], "old")):
            with self.subTest(others=len(others), mode=mode):
                self.start(others, mode)
                self.assertEqual(len(self.demand(20, 10.0)), 2)
                self.assertFalse(self.loans.wait("s", lambda: None))
                self.assertLessEqual(len(self.asked), 3 if others else 0)
