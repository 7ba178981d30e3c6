"""Event log lines: one line of key=value pairs for each event."""

from rhubarbhinge.telemetry._event_log import EventLog
from rhubarbhinge.telemetry._format import Value, format_event
from rhubarbhinge.telemetry._levels import LEVELS

EVENT_MARK = "is_event"
"""Attribute that tells an event's log record from one of another library."""

_event_log: EventLog | None = None


def use_event_log(event_log: EventLog | None) -> None:
    """Write events to a bounded log from now on.

    :param event_log: the log; None for the log of ``absl``.
    """
    global _event_log
    _event_log = event_log


def log_event(name: str, /, *, level: str = "info", **fields: Value) -> None:
    """Write one event to the log.

    :param name: name of the event, as in docs/telemetry.md.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param fields: the event's fields, with the unit at the end of the name.
    """
    number = LEVELS[level]
    if _event_log is not None:
        if number <= LEVELS["info"]:
            _event_log.write(level, name, fields)
        return
    # Imported here: the library takes 25 ms, which a starting entry spends better.
    from absl import logging

    if logging.get_verbosity() < number:
        return
    logging.log(number, "%s", format_event(name, fields), extra={EVENT_MARK: True})
