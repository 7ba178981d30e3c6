"""CPU and memory of real entries and relays on loopback, read from /proc."""

import threading
import time
import urllib.request
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson

from standins.deployment import BY_DOMAIN, LOOPBACK, LiveDeployment, Size
from standins.fleet import Fleet
from tools.bench._usage import read_usage
from tools.slopes._series import Series

PARTS = (10, 50, 150)
CALLERS = (1, 3, 6)
MOST_PARTS = PARTS[-1]
USUAL_CALLERS = 3
_REPEATS = 3
_WINDOW_S = 1.2
_IDLE_S = 2.5
_SCALE = 0.3
_VMS_A_DOMAIN = (2, 4)
_SEARCHER_SCALES = (1.0, 4.0)
_ROLES = ("entry", "relay")
_SYSTEM = "outage-search-desk"
_KEYS = 65_536

_Points = dict[float, list[float]]


@dataclass(frozen=True, slots=True)
class _Setup:
    scale: float
    vms_a_domain: int


def live_costs() -> Iterator[Series]:
    """Measure the whole path by parts a query and by callers, then nodes at rest.

    :returns: the series.
    """
    at_rest: dict[str, dict[tuple[str, str], _Points]] = {"nodes": {}, "searchers": {}}
    with _started(_Setup(_SCALE, 1)) as deployment:
        nodes, searchers = _sizes(deployment)
        _read_at_rest(deployment, {"nodes": nodes, "searchers": searchers}, at_rest)
        _Load(deployment, MOST_PARTS, USUAL_CALLERS).run()
        by_parts = {parts: (parts, USUAL_CALLERS) for parts in PARTS}
        by_callers = {callers: (MOST_PARTS, callers) for callers in CALLERS}
        yield from _path_series(deployment, "parts a query", by_parts)
        yield from _path_series(deployment, "callers", by_callers)
    for vms in _VMS_A_DOMAIN:
        with _started(_Setup(_SCALE, vms)) as deployment:
            _read_at_rest(deployment, {"nodes": _sizes(deployment)[0]}, at_rest)
    for scale in _SEARCHER_SCALES:
        with _started(_Setup(scale, 1)) as deployment:
            _read_at_rest(deployment, {"searchers": _sizes(deployment)[1]}, at_rest)
    yield from _at_rest_series(at_rest)


@contextmanager
def _started(setup: _Setup) -> Iterator[LiveDeployment]:
    with TemporaryDirectory(prefix="slopes-") as folder, Fleet(folder) as fleet:
        size = Size(setup.scale, setup.vms_a_domain, BY_DOMAIN)
        deployment = LiveDeployment(fleet, "kingston", size, change=_add_collections)
        deployment.start_nodes()
        yield deployment


def _sizes(deployment: LiveDeployment) -> tuple[int, int]:
    return 2 * len(deployment.vms), len(deployment.searcher_ports)


def _add_collections(register: dict, rules: dict) -> None:
    """Add collections of as many parts as are measured, two replicas each."""
    for parts in PARTS:
        held = [each for each in register["upstreams"] if each["system"] == _SYSTEM]
        shards = [_shard(part, parts, held) for part in range(parts)]
        register["collections"].append(
            {"name": _collection(parts), "system": _SYSTEM, "about": [], "shards": shards}
        )
    rules["limits"]["in_flight"] = 256


def _shard(part: int, parts: int, held: list[dict]) -> dict:
    first = held[part % len(held)]
    others = [each for each in held if each["failure_domain"] != first["failure_domain"]]
    second = others[part % len(others)]
    width = _KEYS // parts
    hi = _KEYS if part == parts - 1 else (part + 1) * width
    return {"lo": part * width, "hi": hi, "upstreams": [first["name"], second["name"]]}


def _collection(parts: int) -> str:
    return f"slope-{parts}"


def _path_series(
    deployment: LiveDeployment, variable: str, loads: dict[int, tuple[int, int]]
) -> Iterator[Series]:
    found: dict[str, _Points] = {name: {size: [] for size in loads} for name in _PATH_UNITS}
    for _ in range(_REPEATS):
        for size, (parts, callers) in loads.items():
            for name, value in _Load(deployment, parts, callers).run().items():
                found[name][size].append(value)
    for name, points in found.items():
        yield Series(f"whole path by {variable}, {name}", variable, _PATH_UNITS[name], points)


_PATH_UNITS = {
    "entry": "us a sub-query",
    "relay": "us a sub-query",
    "queries": "queries a second of all entries",
    "answered whole": "share",
}


class _Load:
    """Callers that each ask again as soon as they are answered, for a short time.

    :param deployment: what is asked.
    :param parts: parts of each query.
    :param callers: how many, spread over the entries.
    """

    def __init__(self, deployment: LiveDeployment, parts: int, callers: int) -> None:
        self._deployment = deployment
        self._parts = parts
        self._callers = callers
        self._answers: list[bool] = []

    def run(self) -> dict[str, float]:
        """Apply the load.

        :returns: figures by name.
        """
        sent = _sub_queries(self._deployment)
        before = read_usage(_pids(self._deployment))
        self._until_s = time.monotonic() + _WINDOW_S
        ports = [vm.entry_http for vm in self._deployment.vms]
        threads = [
            threading.Thread(target=self._ask, args=(ports[number % len(ports)],))
            for number in range(self._callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        after = read_usage(_pids(self._deployment))
        sent = _sub_queries(self._deployment) - sent
        used = {role: _used_s(before.cpu_s[role], after.cpu_s[role]) for role in _ROLES}
        queries = len(self._answers)
        return {
            "entry": 1e6 * used["entry"] / sent,
            "relay": 1e6 * used["relay"] / sent,
            "queries": queries / (after.at_ms - before.at_ms) * 1000,
            "answered whole": sum(self._answers) / queries,
        }

    def _ask(self, port: int) -> None:
        body = orjson.dumps({"collection": _collection(self._parts), "text": "bearing"})
        caller = HTTPConnection(LOOPBACK, port, timeout=10.0)
        while time.monotonic() < self._until_s:
            caller.request("POST", "/v1/search", body, {"Content-Type": "application/json"})
            answer = caller.getresponse()
            found = orjson.loads(answer.read())
            whole = answer.status == 200 and found["coverage"]["fraction"] == 1.0
            self._answers.append(whole)
        caller.close()


def _at_rest_series(found: dict[str, dict[tuple[str, str], _Points]]) -> Iterator[Series]:
    units = {"CPU": "us a second and node", "resident memory": "bytes a node"}
    for variable, series in found.items():
        for (role, kind), points in series.items():
            name = f"{role} at rest by {variable}, {kind}"
            yield Series(name, variable, units[kind], points)


def _read_at_rest(
    deployment: LiveDeployment,
    sizes: dict[str, int],
    found: dict[str, dict[tuple[str, str], _Points]],
) -> None:
    for _ in range(_REPEATS):
        read = _at_rest(deployment)
        for variable, size in sizes.items():
            for kind, value in read.items():
                points = found[variable].setdefault(kind, {})
                points.setdefault(size, []).append(value)


def _at_rest(deployment: LiveDeployment) -> dict[tuple[str, str], float]:
    pids = _pids(deployment)
    before = read_usage(pids)
    time.sleep(_IDLE_S)
    after = read_usage(pids)
    elapsed_s = (after.at_ms - before.at_ms) / 1000
    found = {}
    for role in _ROLES:
        count = len(pids[role])
        used_s = _used_s(before.cpu_s[role], after.cpu_s[role])
        found[role, "CPU"] = 1e6 * used_s / elapsed_s / count
        found[role, "resident memory"] = sum(map(_resident, pids[role])) / count
    return found


def _pids(deployment: LiveDeployment) -> dict[str, list[int]]:
    return {role: [vm.nodes[role].pid for vm in deployment.vms] for role in _ROLES}


def _used_s(before: dict[int, float], after: dict[int, float]) -> float:
    return sum(after[pid] - before[pid] for pid in before)


def _resident(pid: int) -> int:
    lines: Iterable[str] = Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = [each for each in lines if each.startswith("VmRSS:")]
    return 1024 * int(line.split()[1])


def _sub_queries(deployment: LiveDeployment) -> float:
    return sum(_sub_queries_of(vm.entry_http) for vm in deployment.vms)


def _sub_queries_of(port: int) -> float:
    with urllib.request.urlopen(f"http://{LOOPBACK}:{port}/metrics", timeout=10.0) as answer:
        text = answer.read().decode()
    lines = [line for line in text.splitlines() if line.startswith("rhubarbhinge_sub_queries_")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)
