"""Reading and selecting the events of a history."""

from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson

Event = Mapping[str, Any]


def read_events(paths: Iterable[str | Path]) -> list[Event]:
    """Read the histories of several processes and merge them by time.

    :param paths: files with one JSON object per line; an incomplete last line, without a line feed,
        is ignored.
    :returns: the events, sorted by ``at_ms``.
    """
    events = [orjson.loads(line) for path in paths for line in _complete_lines(path)]
    return sorted(events, key=_at_ms)


def select_events(events: Iterable[Event], *names: str) -> Iterator[Event]:
    """Select the events that have one of the given names.

    :param events: the history.
    :param names: event names.
    :returns: the selected events, in their original order.
    """
    return (event for event in events if event["event"] in names)


def _complete_lines(path: str | Path) -> list[bytes]:
    return Path(path).read_bytes().split(b"\n")[:-1]


def _at_ms(event: Event) -> float:
    return event["at_ms"]
