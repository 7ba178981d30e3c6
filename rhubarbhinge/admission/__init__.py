"""Admission: which queries are taken, and when the refused may come back."""

from rhubarbhinge.admission._limiter import WINDOW_MS, Limiter
from rhubarbhinge.admission._verdict import Admitted, Refused, Verdict

__all__ = ["WINDOW_MS", "Admitted", "Limiter", "Refused", "Verdict"]
