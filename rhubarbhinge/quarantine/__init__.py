"""Detects requests that crash the searchers executing them, and quarantines these requests."""

from rhubarbhinge.quarantine._decision import ALLOWED, ONE_FIRST, Decision, Quarantined
from rhubarbhinge.quarantine._quarantine import Quarantine
from rhubarbhinge.quarantine._request_watch import RequestWatch
from rhubarbhinge.quarantine._suspicion import Suspicion
from rhubarbhinge.quarantine._suspicion_message import SuspicionMessage

__all__ = [
    "ALLOWED",
    "Decision",
    "ONE_FIRST",
    "Quarantine",
    "Quarantined",
    "RequestWatch",
    "Suspicion",
    "SuspicionMessage",
]
