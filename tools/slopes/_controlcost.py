"""Cost of control by nodes, by :mod:`tools.slopes_control`."""

import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import orjson

from tools.slopes._series import Series

_UNITS = {
    "datagram_bytes_per_s": "bytes a second and node",
    "peer_bytes_per_s": "bytes a second and node",
    "datagrams_per_s": "datagrams a second and node",
    "cpu_us_per_s": "us a second and node",
    "platform_calls_per_s": "calls a second, whole fleet",
    "in_force_p50_ms": "ms",
    "in_force_max_ms": "ms",
    "heal_ms": "ms",
    "memory_bytes": "bytes a node",
    "members_followed": "members",
}
_AT_TARGET = (
    "members_followed",
    "memory_bytes",
    "datagram_bytes_per_s",
    "datagrams_per_s",
    "cpu_us_per_s",
)
_BY_CHANGES = ("peer_bytes_per_s", "cpu_us_per_s", "in_force_max_ms")


def control_costs() -> Iterator[Series]:
    """Measure once by nodes, and one node with tables as at the target.

    :returns: the series.
    """
    fleets = _lines("fleet")
    for field, unit in _UNITS.items():
        points = {line["nodes"]: [line[field]] for line in fleets if line.get(field) is not None}
        if points:
            yield Series(f"control, {field}", "nodes", unit, points)
    changes = _lines("changes")
    for field in _BY_CHANGES:
        points = {line["changes_per_s"]: [line[field]] for line in changes}
        yield Series(f"control by changes, {field}", "changes a second", _UNITS[field], points)
    points = {line["lost"]: [line["dropped_ms"]] for line in _lines("lost")}
    yield Series("control, dropped_ms", "members lost at once of 50", "ms", points)
    (calls,) = _lines("calls")
    name = "control at rest, platform_calls_per_s"
    points = {calls["nodes"]: [calls["platform_calls_per_s"]]}
    yield Series(name, "nodes", _UNITS["platform_calls_per_s"], points)
    (target,) = _lines("target")
    for field in _AT_TARGET:
        points = {target["nodes"]: [target[field]]}
        yield Series(f"control with the target's tables, {field}", "nodes", _UNITS[field], points)


def _lines(measure: str) -> list[dict[str, Any]]:
    done = subprocess.run(
        [sys.executable, "-m", "tools.slopes_control", measure], stdout=subprocess.PIPE, check=True
    )
    return [orjson.loads(line) for line in done.stdout.splitlines()]
