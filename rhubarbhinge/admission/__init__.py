"""Admission control: whether a query is accepted, and when a refused one may be retried."""

from rhubarbhinge.admission._decision import Admitted, Decision, Refused
from rhubarbhinge.admission._limiter import WINDOW_MS, Limiter

__all__ = ["WINDOW_MS", "Admitted", "Decision", "Limiter", "Refused"]
