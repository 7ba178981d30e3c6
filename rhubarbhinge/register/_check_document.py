"""Parsing and checking of a document, common to all documents."""

from collections.abc import Callable

from rhubarbhinge.register._faults import (
    MAX_COUNTED_FAULTS,
    Checked,
    FaultLog,
    TooManyFaults,
)
from rhubarbhinge.register._fields import ValueParser
from rhubarbhinge.register._json import parse_json


def check_document(
    data: bytes, parse: ValueParser, check_across: Callable[[FaultLog, object], None]
) -> Checked:
    """Check a document.

    :param data: The raw document.
    :param parse: Parser of the whole document, which checks each field by itself.
    :param check_across: Checks fields against each other; accepts parsed JSON of any shape.
    :returns: The model, or all faults found.
    """
    log = FaultLog(MAX_COUNTED_FAULTS)
    try:
        return log.result(_parse_and_check(data, parse, check_across, log))
    except TooManyFaults:
        return log.result(None)


def _parse_and_check(
    data: bytes, parse: ValueParser, check_across: Callable[[FaultLog, object], None], log: FaultLog
) -> object | None:
    raw = parse_json(data, log)
    if raw is None and log.count:
        return None
    value = parse(log, "", raw)
    check_across(log, raw)
    return value
