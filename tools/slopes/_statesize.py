"""Bytes of state for each searcher."""

import random
import tracemalloc
from collections.abc import Callable, Iterator

from rhubarbhinge.query import ReplicaScores
from tools.bench_routing import warm_core
from tools.slopes._querycost import catalog
from tools.slopes._registercost import checked_register, directory
from tools.slopes._series import Series, measure

_SIZES = (100, 400, 1_600)
_RELAY_SIZES = (12, 40, 160)


def state_sizes() -> Iterator[Series]:
    """Measure the tables that grow with the searchers.

    :returns: the series.
    """
    made: dict[str, tuple[tuple[int, ...], Callable[[int], object]]] = {
        "catalog and plan": (_SIZES, _planned_catalog),
        "replica scores": (_SIZES, _scores),
        "relay core": (_RELAY_SIZES, warm_core),
        "parsed register": (_SIZES, checked_register),
    }
    for name, (sizes, make) in made.items():
        yield measure(f"{name}, state", "searchers", "bytes", sizes, _held_by(make), repeats=1)
    yield measure("owner directory, state", "searchers", "bytes", _SIZES, _directory_bytes, 1)


def _held_by(make: Callable[[int], object]) -> Callable[[int], float]:
    def held(size: int) -> float:
        make(size)
        tracemalloc.start()
        kept = make(size)
        found = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        return found

    return held


def _planned_catalog(searchers: int) -> object:
    made = catalog(searchers // 2)
    made.plan("overhauls", frozenset())
    return made


def _scores(searchers: int) -> ReplicaScores:
    scores = ReplicaScores()
    rng = random.Random(1)
    for number in range(searchers):
        scores.on_sent(2**60 + number)
        scores.on_latency(2**60 + number, 20.0 * rng.random(), 1e3 * rng.random())
    return scores


def _directory_bytes(searchers: int) -> float:
    register = checked_register(searchers)
    return _held_by(lambda _: directory(register))(searchers)
