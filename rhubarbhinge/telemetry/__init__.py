"""Metrics and structured event logging."""

from rhubarbhinge.telemetry._event_log import EventLog
from rhubarbhinge.telemetry._events import log_event, use_event_log
from rhubarbhinge.telemetry._format import format_event
from rhubarbhinge.telemetry._labels import CONTENT_TYPE
from rhubarbhinge.telemetry._log_histogram import RELATIVE_ERROR, LogHistogram
from rhubarbhinge.telemetry._metrics import Metrics
from rhubarbhinge.telemetry._parse import parse_event
from rhubarbhinge.telemetry._scalar_metric import ScalarMetric
from rhubarbhinge.telemetry._setup import setup_logging
from rhubarbhinge.telemetry._sub_query_kind import SubQueryKind

__all__ = [
    "CONTENT_TYPE",
    "EventLog",
    "ScalarMetric",
    "LogHistogram",
    "Metrics",
    "RELATIVE_ERROR",
    "SubQueryKind",
    "format_event",
    "log_event",
    "parse_event",
    "setup_logging",
    "use_event_log",
]
