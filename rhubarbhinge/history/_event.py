"""Events of a history."""

from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import orjson

Event = Mapping[str, Any]


def read_events(paths: Iterable[str | Path]) -> list[Event]:
    """Read histories of several processes and put them in the order of their time.

    :param paths: files with one JSON object a line; a last line cut short is left out.
    :returns: the events.
    """
    events = [orjson.loads(line) for path in paths for line in _whole_lines(path)]
    return sorted(events, key=_at_ms)


def named(events: Iterable[Event], *names: str) -> Iterator[Event]:
    """Pick events.

    :param events: the history.
    :param names: which to pick.
    :returns: the events of these names, in order.
    """
    return (event for event in events if event["event"] in names)


def _whole_lines(path: str | Path) -> list[bytes]:
    return Path(path).read_bytes().split(b"\n")[:-1]


def _at_ms(event: Event) -> float:
    return event["at_ms"]
