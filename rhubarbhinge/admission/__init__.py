"""Admission control: whether a query or a forwarded request is accepted, and when a refused one may
be retried."""

from rhubarbhinge.admission._arrival import (
    Accepted,
    QueueFigures,
    Rejected,
    ServiceTimes,
    decide,
    queue_figures,
)
from rhubarbhinge.admission._decision import Admitted, Decision, Refused
from rhubarbhinge.admission._forecast import earliest_start_ms, turn_ms, unservable
from rhubarbhinge.admission._limiter import WINDOW_MS, Limiter
from rhubarbhinge.admission._queue import (
    CALLER_STEP_MS,
    LOWER_QUARTILE,
    MAX_CALLER_STEPS,
    PRIORITY_STEP_MS,
    QueuedRequest,
    SearcherQueue,
    virtual_start_ms,
)
from rhubarbhinge.admission._return_times import MAX_AHEAD_MS, ReturnTimes
from rhubarbhinge.admission._send_pace import SendPace

__all__ = [
    "Accepted",
    "Admitted",
    "CALLER_STEP_MS",
    "Decision",
    "LOWER_QUARTILE",
    "Limiter",
    "MAX_AHEAD_MS",
    "MAX_CALLER_STEPS",
    "PRIORITY_STEP_MS",
    "QueueFigures",
    "QueuedRequest",
    "Refused",
    "Rejected",
    "ReturnTimes",
    "SearcherQueue",
    "SendPace",
    "ServiceTimes",
    "WINDOW_MS",
    "decide",
    "earliest_start_ms",
    "queue_figures",
    "turn_ms",
    "unservable",
    "virtual_start_ms",
]
