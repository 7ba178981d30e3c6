"""The budget that retries and hedges of all processes share."""

from rhubarbhinge.retries._budget import BudgetRule, RetryBudget

__all__ = ["BudgetRule", "RetryBudget"]
