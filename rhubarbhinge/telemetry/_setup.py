"""Configuration of the log."""

import logging as standard_logging
import time

from rhubarbhinge.telemetry._events import EVENT_ATTRIBUTE
from rhubarbhinge.telemetry._format import format_event, format_value
from rhubarbhinge.telemetry._levels import LEVELS


class LineFormatter(standard_logging.Formatter):
    """Formats each log record as one line of key=value pairs.

    :param node: name of this node.
    """

    def __init__(self, node: str):
        super().__init__()
        self._node = format_value(node)

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format a record; records of other libraries become ``log`` events.

        :param record: the record.
        :returns: one line.
        """
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        prefix = f"time={seconds}.{int(record.msecs):03d}Z level={record.levelname.lower()}"
        return f"{prefix} node={self._node} {self._event_text(record)}"

    def _event_text(self, record: standard_logging.LogRecord) -> str:
        if getattr(record, EVENT_ATTRIBUTE, False):
            return record.getMessage()
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return format_event("log", fields)


def setup_logging(level: str, node: str) -> None:
    """Write the log to standard error, one line per event.

    The command line flags of ``absl`` are not used. They are marked as parsed to avoid its warning.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param node: name of this node, which is part of each line.
    :raises ValueError: if the level is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"unknown log level {level!r}; use one of {', '.join(LEVELS)}")
    # Imported lazily: importing absl takes 25 ms, and processes with an event log don't need it.
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(LineFormatter(node))
