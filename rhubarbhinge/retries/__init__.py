"""Retry budget shared by the retries and hedges of all processes."""

from rhubarbhinge.retries._budget import BudgetRule, RetryBudget
from rhubarbhinge.retries._loan_requests import (
    NO_LOANS,
    REFUSED,
    Loan,
    LoanRequests,
    LoanWaits,
    OnReply,
    Unsupported,
)
from rhubarbhinge.retries._loan_turns import LoanTurns
from rhubarbhinge.retries._loans import LOAN_VALID_MS, MAX_LOAN

__all__ = [
    "LOAN_VALID_MS",
    "MAX_LOAN",
    "NO_LOANS",
    "REFUSED",
    "BudgetRule",
    "Loan",
    "LoanRequests",
    "LoanTurns",
    "LoanWaits",
    "OnReply",
    "RetryBudget",
    "Unsupported",
]
