"""Setting up of the log."""

import logging as standard_logging
import time

from rhubarbhinge.telemetry._events import EVENT_MARK
from rhubarbhinge.telemetry._format import format_event, format_value
from rhubarbhinge.telemetry._levels import LEVELS


class LineFormatter(standard_logging.Formatter):
    """Formats every record as one line of key=value pairs.

    :param node: name of this node.
    """

    def __init__(self, node: str):
        super().__init__()
        self._node = format_value(node)

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format a record; one of another library becomes the event ``log``.

        :param record: the record.
        :returns: one line.
        """
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        head = f"time={seconds}.{int(record.msecs):03d}Z level={record.levelname.lower()}"
        return f"{head} node={self._node} {self._rest(record)}"

    def _rest(self, record: standard_logging.LogRecord) -> str:
        if getattr(record, EVENT_MARK, False):
            return record.getMessage()
        fields = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return format_event("log", fields)


def setup_logging(level: str, node: str) -> None:
    """Write the log to standard error, one line an event.

    The flags of ``absl`` stay unused, so they are marked as parsed, without which ``absl`` warns.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param node: name of this node, which each line carries.
    :raises ValueError: if the level is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r} is none of {', '.join(LEVELS)}")
    # Imported here: the library takes 25 ms, and processes with an event log do without.
    from absl import flags, logging

    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(LineFormatter(node))
