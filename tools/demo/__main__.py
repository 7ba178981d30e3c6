"""``make demo``: both deployments, a failure domain's searchers lost, a payment retried."""

import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

from standins.deployment import BY_DOMAIN, LOOPBACK, LiveDeployment, Size, post
from standins.fleet import Fleet
from tools.demo._checks import DemoFault, check_answer, expect

TEXT = "bearing"
LIMIT = 10
SCALE = 0.1
#: Searches sent while the replicas are lost.
SEARCHES_ON_THE_WAY = 30
_CLIENT_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table.

    :param tenant: the deployment.
    :param step: what was done.
    :param entry: through which entry.
    :param outcome: what came back.
    :param coverage: share of the records, empty for runs.
    :param took_ms: as the caller saw it.
    """

    tenant: str
    step: str
    entry: str
    outcome: str
    coverage: str
    took_ms: float


def main() -> int:
    """Run the demo.

    :returns: 0 only if each answer was checked and was right.
    """
    started_s = time.monotonic()
    rows: list[Row] = []
    try:
        with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
            for tenant in ("kingston", "suva"):
                rows += _tenant(fleet, tenant)
    except (DemoFault, TimeoutError) as fault:
        _print_table(rows)
        print(f"demo failed: {fault}")
        return 1
    _print_table(rows)
    print(f"demo passed: {len(rows)} answers checked in {time.monotonic() - started_s:.0f} s")
    return 0


def _tenant(fleet: Fleet, tenant: str) -> list[Row]:
    print(f"starting {tenant}: platform, searchers, relays, entries", flush=True)
    deployment = LiveDeployment(fleet, tenant, Size(SCALE, 1, BY_DOMAIN))
    deployment.start_nodes()
    rows = list(_searches(deployment))
    rows += _run_twice(deployment)
    rows += _lose_replicas(deployment)
    return rows


def _searches(deployment: LiveDeployment) -> Iterable[Row]:
    collections = [each["name"] for each in deployment.register["collections"]]
    for place, collection in enumerate(collections):
        vm = deployment.vms[place % len(deployment.vms)]
        yield _search(deployment, vm, collection, f"search {collection}")


def _search(deployment: LiveDeployment, vm: Any, collection: str, step: str) -> Row:
    began_s = time.monotonic()
    status, answer = deployment.search(vm, collection, TEXT, limit=LIMIT)
    took_ms = 1e3 * (time.monotonic() - began_s)
    expect(status == 200, f"{collection}: status {status}: {answer}")
    check_answer(collection, TEXT, LIMIT, answer)
    fraction = answer["coverage"]["fraction"]
    outcome = f"{len(answer['hits'])} hits, version {answer['snapshot']['version']}"
    return Row(deployment.tenant, step, vm.name, outcome, f"{fraction:.4f}", took_ms)


def _lose_replicas(deployment: LiveDeployment) -> list[Row]:
    collection = deployment.register["collections"][0]["name"]
    victim = deployment.register["failure_domains"][-1]
    (process,) = {
        deployment.searchers[each["name"]]
        for each in deployment.register["upstreams"]
        if each["failure_domain"] == victim
    }
    killer = threading.Timer(0.05, process.kill)
    killer.start()
    vm = deployment.vms[0]
    step = f"search, searchers of {victim} killed"
    found = [_search(deployment, vm, collection, step) for _ in range(SEARCHES_ON_THE_WAY)]
    killer.join()
    thinnest = min(found, key=lambda row: float(row.coverage))
    after = _search(deployment, vm, collection, f"search after the loss of {victim}")
    expect(after.coverage == "1.0000", "a lost replica left a range uncovered")
    return [thinnest, after]


def _run_twice(deployment: LiveDeployment) -> list[Row]:
    action = deployment.register["actions"][0]["name"]
    body = {"action": action, "body": {"order": "demo-1"}}
    first, other = deployment.vms[0], deployment.vms[1]
    ticket_path = _mint(first.entry_http, body)
    rows = []
    for vm, step in ((first, f"run {action}"), (other, f"run {action} again, other entry")):
        began_s = time.monotonic()
        status, answer = post(vm.entry_http, ticket_path, body)
        took_ms = 1e3 * (time.monotonic() - began_s)
        expect(answer.get("outcome") == "ran", f"{step}: status {status}: {answer}")
        rows.append(Row(deployment.tenant, step, vm.name, "ran", "", took_ms))
    ticket = ticket_path.rsplit("/", 1)[1]
    expect(_times_run(deployment, ticket) == 1, "the upstreams ran the ticket other than once")
    return rows


def _mint(port: int, body: dict[str, Any]) -> str:
    request = urllib.request.Request(f"http://{LOOPBACK}:{port}/v1/run", orjson.dumps(body))
    try:
        with urllib.request.urlopen(request, timeout=_CLIENT_TIMEOUT_S) as answer:
            raise DemoFault(f"no ticket was given: status {answer.status}")
    except urllib.error.HTTPError as error:
        expect(error.code == 307, f"no ticket was given: status {error.code}")
        return error.headers["Location"]


def _times_run(deployment: LiveDeployment, ticket: str) -> int:
    processes = set(deployment.searchers.values())
    events = [event for process in processes for event in process.history()]
    return sum(event["event"] == "run" and event.get("ticket") == ticket for event in events)


def _print_table(rows: list[Row]) -> None:
    header = Row("tenant", "step", "entry", "outcome", "coverage", 0.0)
    lines = [_cells(header)[:-1] + ("ms",)] + [_cells(row) for row in rows]
    widths = [max(len(line[place]) for line in lines) for place in range(len(lines[0]))]
    for line in lines:
        print("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)))


def _cells(row: Row) -> tuple[str, ...]:
    return (row.tenant, row.step, row.entry, row.outcome, row.coverage, f"{row.took_ms:.1f}")


if __name__ == "__main__":
    sys.exit(main())
