"""The event history of a stand-in: one JSON object a line, for checkers."""

import time
from collections.abc import Mapping
from pathlib import Path

import orjson


def monotonic_ms() -> float:
    """Read the machine's monotonic clock, which all processes of one machine share.

    :returns: The time in milliseconds.
    """
    return time.monotonic_ns() / 1e6


class History:
    """Writes events to a file; an event marked durable survives a kill of this process.

    :param path: The file to append to, or None to write nothing.
    """

    def __init__(self, path: str | None) -> None:
        self._file = open(path, "ab") if path else None

    def add(self, event: Mapping[str, object], durable: bool = False) -> None:
        """Write one event.

        :param event: The event's fields.
        :param durable: Whether to hand the line to the operating system before returning.
        """
        if self._file is None:
            return
        self._file.write(orjson.dumps(event, option=orjson.OPT_APPEND_NEWLINE))
        if durable:
            self._file.flush()

    def flush(self) -> None:
        """Hand every line written so far to the operating system."""
        if self._file is not None:
            self._file.flush()


def read_history(path: str | Path) -> list[dict[str, object]]:
    """Read the events of a history file; a last line cut short is left out.

    :param path: The file.
    :returns: The events in the order in which they were written.
    """
    whole = Path(path).read_bytes().split(b"\n")[:-1]
    return [orjson.loads(line) for line in whole]
