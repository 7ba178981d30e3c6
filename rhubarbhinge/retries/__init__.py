"""Retry budget shared by the retries and hedges of all processes."""

from rhubarbhinge.retries._budget import BudgetRule, RetryBudget

__all__ = ["BudgetRule", "RetryBudget"]
