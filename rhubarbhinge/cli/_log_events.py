"""Events out of log files."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass

from rhubarbhinge.telemetry import parse_event

START = "time="
"""Where an event begins on a line; what collects logs may have put something before it."""
STANDARD_INPUT = "-"


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One event of a log.

    :param time: when it was written, as the line has it.
    :param node: who wrote it.
    :param name: its name.
    :param fields: its other fields, as text.
    """

    time: str
    node: str
    name: str
    fields: dict[str, str]


def read_events(paths: tuple[str, ...]) -> Iterator[LogEvent]:
    """Read the events of log files; other lines are passed over.

    :param paths: the files; ``-`` or none for standard input.
    :returns: the events in the order of the files.
    :raises OSError: when a file can't be read.
    """
    for path in paths or (STANDARD_INPUT,):
        if path == STANDARD_INPUT:
            yield from _events(sys.stdin)
            continue
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from _events(file)


def _events(lines) -> Iterator[LogEvent]:
    for line in lines:
        start = line.find(START)
        fields = parse_event(line[start:].rstrip("\n")) if start >= 0 else None
        if not fields or "event" not in fields:
            continue
        time, node, name = (fields.pop(key, "") for key in ("time", "node", "event"))
        fields.pop("level", None)
        yield LogEvent(time, node, name, fields)
