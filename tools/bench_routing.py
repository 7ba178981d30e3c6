"""Measure the processor time of the relay core and of ownership, without sockets."""

import cProfile
import pstats
import statistics
import sys
import time
from collections import deque
from random import Random

import orjson

from rhubarbhinge.routing import (
    CloseConnection,
    OpenConnection,
    OwnerTable,
    RelayCore,
    RelayPolicy,
    SendSearch,
    UpstreamSpec,
)
from rhubarbhinge.wire import SubBatch, upstream_id

#: Searchers that one relay owns, and sub-queries of one call that reach it in one batch.
UPSTREAMS = 40
BATCH = 6
ROUNDS = 10_000
REPEATS = 5
#: Hits in each answer: the limit of a usual call.
HITS = 10


def main() -> None:
    """Print microseconds a sub-query, at once and through queues, and for ownership."""
    if "--profile" in sys.argv:
        _profile()
        return
    for name, lag in (("sent at once", 1), ("queued first", 12)):
        runs = [sub_query_us(lag) for _ in range(REPEATS)]
        print(f"{name}: median {statistics.median(runs):.2f} us, {_range(runs)} a sub-query")
    for count in (1, 2):
        _print_ownership(count)


def _range(runs: list[float]) -> str:
    return f"{min(runs):.2f} to {max(runs):.2f}"


def _profile() -> None:
    profiler = cProfile.Profile()
    profiler.runcall(sub_query_us, 1)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(25)


def sub_query_us(
    lag: int, upstreams: int = UPSTREAMS, batch_size: int = BATCH, rounds: int = ROUNDS
) -> float:
    """Measure the relay core's CPU time a sub-query.

    :param lag: batches that are taken before the first is answered; few go straight to searchers.
    :param upstreams: searchers that the relay owns.
    :param batch_size: sub-queries in each batch.
    :param rounds: batches, one each millisecond.
    :returns: microseconds.
    """
    core, names = warm_core(upstreams)
    ids = [upstream_id(name) for name in names]
    waiting: deque[tuple[int, bytes]] = deque()
    spent_ns = done = 0
    for number in range(rounds):
        now_ms = 10_000 + number
        batch = _batch(number, ids, batch_size)
        started_ns = time.process_time_ns()
        effects = core.on_batch("entry", batch, now_ms)
        spent_ns += time.process_time_ns() - started_ns
        waiting.append(effects)
        while len(waiting) >= lag:
            spent, ended = _answer(core, waiting, now_ms)
            spent_ns += spent
            done += ended
        started_ns = time.process_time_ns()
        core.tick(now_ms)
        spent_ns += time.process_time_ns() - started_ns
    return spent_ns / 1000 / done


def _answer(core: RelayCore, waiting: deque, now_ms: int) -> tuple[int, int]:
    spent_ns = ended = 0
    later: list = []
    for effect in waiting.popleft():
        if type(effect) is SendSearch:
            body = _answer_body(effect.body)
            started_ns = time.process_time_ns()
            later += core.on_reply(effect.conn, 200, False, body, now_ms)
            spent_ns += time.process_time_ns() - started_ns
            ended += 1
        else:
            later += _connect(core, effect, now_ms)
    if later:
        waiting.append(later)
    return spent_ns, ended


def _connect(core: RelayCore, effect: object, now_ms: int) -> list:
    if type(effect) is OpenConnection:
        return core.on_connected(effect.conn, now_ms)
    if type(effect) is CloseConnection:
        return core.on_connection_closed(effect.conn, now_ms)
    return []


def warm_core(upstreams: int) -> tuple[RelayCore, list[str]]:
    """Make a relay core whose searchers have long been connected.

    :param upstreams: searchers that it owns.
    :returns: the core and the searchers' names.
    """
    core = RelayCore(7, RelayPolicy(queue_limit=10_000), Random(1))
    names = [f"outage-search-desk-{number:02d}" for number in range(upstreams)]
    specs = tuple(
        UpstreamSpec(upstream_id(name), name, "127.0.0.1", 9000, 2, 25, 6) for name in names
    )
    for effect in core.set_upstreams(1, specs, 0):
        _connect(core, effect, 0)
    core.tick(9_999)
    return core, names


def _batch(number: int, ids: list[int], size: int) -> SubBatch:
    first = number * size
    chosen = tuple(ids[(first + step) % len(ids)] for step in range(size))
    parts = tuple(range(size))
    los = tuple(part * 8192 for part in parts)
    his = tuple(lo + 8192 for lo in los)
    attempts = (0,) * size
    return SubBatch(
        number, 7, 1, "overhauls", 41, "bearing", 10, 230, 8, parts, attempts, chosen, los, his
    )


def _answer_body(request: bytes) -> bytes:
    call = orjson.loads(request)["call"]
    hits = [{"id": f"overhauls-{hit:05d}", "score": 0.91, "title": "x"} for hit in range(HITS)]
    return orjson.dumps({"call": call, "records": 6000, "hits": hits})


def _print_ownership(run: int) -> None:
    table = OwnerTable([f"kgn-a-{number}/relay" for number in range(20)])
    names = [f"outage-search-desk-{number:05d}-a" for number in range(45_000)]
    for pass_name in ("first", "second"):
        started_ns = time.perf_counter_ns()
        for name in names:
            table.owners(name)
        spent_ms = (time.perf_counter_ns() - started_ns) / 1e6
        print(f"owners of 45,000 searchers, 20 relays, run {run}, {pass_name}: {spent_ms:.0f} ms")


if __name__ == "__main__":
    main()
