"""Lending and borrowing of extra sends."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from rhubarbhinge.retries import LOAN_VALID_MS, MAX_LOAN, BudgetRule, RetryBudget

RULE = BudgetRule(ratio=0.2, slack=24.0, window_ms=10_000.0)
SETTLED_MS = RULE.window_ms + LOAN_VALID_MS + 500.0
ENTRIES = 3
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["request", "spend", "spend-all", "borrow", "lose", "die", "restart"]),
        st.integers(0, ENTRIES - 1),
        st.sampled_from([0.0, 5.0, 500.0, 1_900.0, 2_600.0, 8_200.0, 10_600.0]),
        st.sampled_from([5.0, 1_900.0, 9_000.0]),
    ),
    min_size=4,
    max_size=20,
)
"""Kind of event, entry, time since the event before, and delay of replies."""
SPENT_AT_THE_END = [
    ("borrow", 0, 0.0, 1_900.0),
    ("spend-all", 0, 1_900.0, 5.0),
    ("spend-all", 0, 8_200.0, 5.0),
    ("spend-all", 0, 500.0, 5.0),
]
"""A loan is spent late and still in the window when its lender's other sends are out of it."""
LENT_BEFORE_A_START = [
    ("borrow", 0, 0.0, 5.0),
    ("spend-all", 0, 500.0, 5.0),
    ("restart", 1, 5.0, 5.0),
    ("borrow", 0, 5.0, 5.0),
    ("spend-all", 0, 500.0, 5.0),
]
"""An entry lends, starts again with empty counts, and is asked once more."""


class LoansTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.processes = ENTRIES
        self.lender, self.borrower = self.budget(), self.budget()
        self.now_ms = SETTLED_MS

    def budget(self) -> RetryBudget:
        return RetryBudget(RULE, lambda: self.now_ms, lambda: self.processes)

    def spend_all(self, budget: RetryBudget) -> int:
        return sum(budget.take("s") for _ in range(50))

    def test_half_of_what_is_left_is_lent_and_counted_as_spent(self):
        """Guards against extra sends that both entries spend."""
        self.assertEqual(self.lender.lend("s"), 4)
        self.assertEqual(self.lender.left("s"), 4.0)
        self.assertEqual([self.lender.lend("s") for _ in range(4)], [2, 1, 0, 0])
        self.now_ms += RULE.window_ms + LOAN_VALID_MS
        self.assertEqual((self.spend_all(self.lender), self.lender.lent), (1, 7))

    def test_loans_are_limited_by_size_and_by_the_share_of_the_slack(self):
        """Guards against loans of what the lender's own requests have earned."""
        self.processes = 1
        self.lender = self.budget()
        self.now_ms += SETTLED_MS
        for _ in range(500):
            self.lender.on_request(("s",))
        loans = [self.lender.lend("s") for _ in range(6)]
        self.assertEqual(loans, [MAX_LOAN, MAX_LOAN, MAX_LOAN, 0, 0, 0])

    def test_own_budget_is_spent_first_and_then_the_oldest_loan(self):
        self.borrower.borrow("s", 1, self.now_ms, LOAN_VALID_MS)
        self.borrower.borrow("s", 1, self.now_ms - 1_500.0, LOAN_VALID_MS)
        self.assertEqual(sum(self.borrower.take("s") for _ in range(9)), 9)
        self.now_ms += 600.0
        self.assertEqual((self.borrower.left("s"), self.spend_all(self.borrower)), (1.0, 1))

    def test_a_loan_expires_by_the_time_of_its_request(self):
        """Guards against a borrower that pauses, or gets the reply late, and spends it then."""
        self.borrower.borrow("s", 8, self.now_ms - LOAN_VALID_MS, LOAN_VALID_MS)
        self.assertEqual(self.spend_all(self.borrower), 8)

    def test_borrowed_sends_are_not_lent_on(self):
        self.spend_all(self.borrower)
        self.borrower.borrow("s", 8, self.now_ms, LOAN_VALID_MS)
        self.assertEqual(self.borrower.lend("s"), 0)

    def test_a_share_that_grew_as_others_left_is_lent_only_after_the_window(self):
        """Guards against loans of the share of a VM that has just spent it and left."""
        self.lender.observe_processes()
        self.now_ms += 100.0
        self.processes = 1
        self.assertEqual(self.lender.lend("s"), 4)
        self.now_ms += SETTLED_MS + 500.0
        self.assertEqual(self.lender.lend("s"), MAX_LOAN)

    @settings(derandomize=True, deadline=None, database=None, max_examples=500)
    @given(EVENTS)
    @example(SPENT_AT_THE_END)
    @example(LENT_BEFORE_A_START)
    def test_no_window_of_all_entries_exceeds_the_limit(self, events):
        """Guards against sends of one loan by two entries, or after the lender forgot it: replies
        that are lost or late, pauses, entries that die and start again under the same name.

        Entries send all that they may. Those that have started again send nothing of their own in
        the first window, as also without loans they would spend a share that their former process
        may have spent.
        """
        self.now_ms = 0.0
        budgets: list[RetryBudget | None] = [self.budget() for _ in range(ENTRIES)]
        self.now_ms = SETTLED_MS
        sends_from_ms = [0.0] * ENTRIES
        requests: list[list[float]] = [[] for _ in budgets]
        sent: list[float] = []
        replies: list[tuple[float, RetryBudget, int, float]] = []
        for kind, index, wait_ms, delay_ms in events:
            self.now_ms += wait_ms
            for reply in [one for one in replies if one[0] <= self.now_ms]:
                replies.remove(reply)
                reply[1].borrow("s", reply[2], reply[3], LOAN_VALID_MS)
            if kind == "restart":
                budgets[index] = self.budget()
                sends_from_ms[index] = self.now_ms + SETTLED_MS
            elif kind == "die":
                budgets[index] = None
            budget = budgets[index]
            if kind == "request" and budget is not None:
                for _ in range(20):
                    budget.on_request(("s",))
                    requests[index].append(self.now_ms)
            for number, sender in enumerate(budgets):
                may_send = sender is not None and self.now_ms >= sends_from_ms[number]
                if may_send and kind in (
                    ("spend", "spend-all") if number == index else ("spend-all",)
                ):
                    sent += [self.now_ms] * self.spend_all(sender)
            if kind in ("borrow", "lose") and budget is not None:
                granted = [
                    lender.lend("s")
                    for lender in budgets * 3
                    if lender is not None and lender is not budget
                ]
                if kind == "borrow":
                    replies.append((self.now_ms + delay_ms, budget, sum(granted), self.now_ms))
        for end_ms in sorted(set(sent)):
            start_ms = end_ms - RULE.window_ms
            # An extra send is earned by the requests of the window that ends with it.
            earned = sum(
                max(
                    sum(to_ms - RULE.window_ms <= at <= to_ms for at in own)
                    for to_ms in (start_ms, *own, end_ms)
                    if start_ms <= to_ms <= end_ms
                )
                for own in requests
            )
            in_window = sum(start_ms < at <= end_ms for at in sent)
            self.assertLessEqual(in_window, RULE.slack + RULE.ratio * earned + 1e-9)
