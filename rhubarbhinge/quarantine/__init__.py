"""Detects requests that crash the searchers executing them, and quarantines these requests."""

from rhubarbhinge.quarantine._quarantine import Quarantine
from rhubarbhinge.quarantine._request_watch import RequestWatch
from rhubarbhinge.quarantine._suspicion import Suspicion
from rhubarbhinge.quarantine._suspicion_message import SuspicionMessage
from rhubarbhinge.quarantine._verdict import ALLOWED, ONE_FIRST, Quarantined, Verdict

__all__ = [
    "ALLOWED",
    "ONE_FIRST",
    "Quarantine",
    "Quarantined",
    "RequestWatch",
    "Suspicion",
    "SuspicionMessage",
    "Verdict",
]
