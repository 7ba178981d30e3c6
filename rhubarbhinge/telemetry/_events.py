"""Logging of events, each as one line of key=value pairs."""

from rhubarbhinge.telemetry._event_log import EventLog
from rhubarbhinge.telemetry._format import Value, format_event
from rhubarbhinge.telemetry._levels import LEVELS

EVENT_ATTRIBUTE = "is_event"
"""Attribute that distinguishes log records of events from those of other libraries."""

_event_log: EventLog | None = None


def use_event_log(event_log: EventLog | None) -> None:
    """Write events to a rate-limited log from now on.

    :param event_log: the log; None to use the ``absl`` log.
    """
    global _event_log
    _event_log = event_log


def log_event(name: str, /, *, level: str = "info", **fields: Value) -> None:
    """Write an event to the log.

    :param name: name of the event, as listed in docs/telemetry.md.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param fields: fields of the event; names end with the unit.
    """
    verbosity = LEVELS[level]
    if _event_log is not None:
        if verbosity <= LEVELS["info"]:
            _event_log.write(level, name, fields)
        return
    # Imported lazily, since importing absl would add 25 ms to the startup of an entry.
    from absl import logging

    if logging.get_verbosity() < verbosity:
        return
    logging.log(verbosity, "%s", format_event(name, fields), extra={EVENT_ATTRIBUTE: True})
