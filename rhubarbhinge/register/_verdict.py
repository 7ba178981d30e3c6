"""From bytes to a verdict, the same way for each document."""

from collections.abc import Callable

from rhubarbhinge.register._faults import (
    MOST_COUNTED_FAULTS,
    Checked,
    FaultLog,
    TooManyFaults,
)
from rhubarbhinge.register._fields import Reader
from rhubarbhinge.register._json import load


def check_document(
    data: bytes, read: Reader, check_across: Callable[[FaultLog, object], None]
) -> Checked:
    """Check a document.

    :param data: The raw document.
    :param read: Reader of the whole document, which checks each field by itself.
    :param check_across: Checks fields against each other, on parsed JSON of any shape.
    :returns: The model, or all faults found.
    """
    log = FaultLog(MOST_COUNTED_FAULTS)
    try:
        return log.verdict(_read(data, read, check_across, log))
    except TooManyFaults:
        return log.verdict(None)


def _read(
    data: bytes, read: Reader, check_across: Callable[[FaultLog, object], None], log: FaultLog
) -> object | None:
    raw = load(data, log)
    if raw is None and log.count:
        return None
    value = read(log, "", raw)
    check_across(log, raw)
    return value
