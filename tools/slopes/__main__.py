"""Measure all slopes: ``python -m tools.slopes [query codec relay ...]``.

Writes out/slopes/<name>.jsonl, prints a table, and works out the target from the whole.
``python -m tools.slopes target <file>`` works it out from recorded series without measuring.
"""

import os
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

import orjson

from tools.slopes._admissioncost import admission_costs
from tools.slopes._capacity import capacity_lines
from tools.slopes._catalogcost import catalog_costs
from tools.slopes._codeccost import codec_costs
from tools.slopes._controlcost import control_costs
from tools.slopes._livecost import live_costs
from tools.slopes._owners import owner_costs
from tools.slopes._querycost import query_costs
from tools.slopes._registercost import register_costs
from tools.slopes._relaycost import relay_costs
from tools.slopes._series import Series, from_document
from tools.slopes._statesize import state_sizes
from tools.slopes._table import row
from tools.slopes._webcost import web_costs

_FOLDER = Path("out", "slopes")
_MEASURES: dict[str, Callable[[], Iterator[Series]]] = {
    "query": query_costs,
    "codec": codec_costs,
    "catalog": catalog_costs,
    "relay": relay_costs,
    "web": web_costs,
    "admission": admission_costs,
    "state": state_sizes,
    "register": register_costs,
    "owners": owner_costs,
    "control": control_costs,
    "live": live_costs,
}


def main(names: list[str]) -> int:
    """Measure.

    :param names: measures to run; all by default. Or ``target`` and a file of recorded series.
    :returns: 0.
    """
    if names[:1] == ["target"]:
        _print_target(read_series(Path(names[1])))
        return 0
    _FOLDER.mkdir(parents=True, exist_ok=True)
    started_s = time.monotonic()
    found: dict[str, Series] = {}
    loads = {"start": _print_load("start")}
    for name in names or _MEASURES:
        with open(_FOLDER / f"{name}.jsonl", "wb") as file:
            for series in _MEASURES[name]():
                found[series.name] = series
                file.write(orjson.dumps(series.document(), option=orjson.OPT_APPEND_NEWLINE))
                print(row(series), flush=True)
    loads["end"] = _print_load("end")
    run = {"run": {"processors": os.cpu_count(), "load_averages": loads}}
    (_FOLDER / "run.jsonl").write_bytes(orjson.dumps(run, option=orjson.OPT_APPEND_NEWLINE))
    print(f"raw results: {_FOLDER}; the run took {time.monotonic() - started_s:.0f} s")
    if not names:
        _print_target(found)
    return 0


def read_series(path: Path) -> dict[str, Series]:
    """Read recorded series.

    :param path: a file of JSON Lines; other lines than series are skipped.
    :returns: the series by name.
    """
    documents = map(orjson.loads, path.read_bytes().splitlines())
    series = [from_document(each) for each in documents if "points" in each]
    return {each.name: each for each in series}


def _print_target(found: Mapping[str, Series]) -> None:
    print("\nAt the target:")
    for line in capacity_lines(found):
        print(line)


def _print_load(when: str) -> tuple[float, ...]:
    averages = os.getloadavg()
    load = ", ".join(f"{value:.1f}" for value in averages)
    print(f"load of the machine at the {when}: {load} on {os.cpu_count()} processors", flush=True)
    return averages


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
