"""CPU of the query core, without codec and sockets."""

import random
import time
from collections.abc import Iterator

from rhubarbhinge.query import (
    Answer,
    Catalog,
    QueryCore,
    QueryPolicy,
    RelayTarget,
    SearchRequest,
    SendBatch,
)
from rhubarbhinge.wire import ReplyBatch
from tools.slopes import _sample as sample
from tools.slopes._series import Series, measure

#: Parts of the target's query, and parts that one relay of a cell takes of it.
PARTS = 150
PARTS_A_RELAY = 6
_QUERIES = 12_000
#: The key space of every collection (docs/architecture.md).
KEYS = 65_536


def query_costs() -> Iterator[Series]:
    """Measure by parts a query, hits an answer, and answers a message.

    :returns: the series.
    """
    yield measure(
        "query core, by parts",
        "parts a query",
        "us a query",
        (10, 50, 150, 300),
        lambda parts: _query_us(parts, sample.HITS, PARTS_A_RELAY),
    )
    yield measure(
        "query core, by hits",
        "hits an answer",
        "us a sub-query",
        (0, 10, 50),
        lambda hits: _query_us(PARTS, hits, PARTS_A_RELAY) / PARTS,
    )
    yield measure(
        "query core, by answers a message",
        "answers a message",
        "us a sub-query",
        (1, 6, 25),
        lambda answers: _query_us(PARTS, sample.HITS, answers) / PARTS,
    )


def catalog(parts: int, replicas: int = 2) -> Catalog:
    """Make the announcements of a collection, one searcher for each replica of each part.

    :param parts: its ranges.
    :param replicas: searchers of each range.
    :returns: the catalog.
    """
    found = Catalog()
    width = KEYS // parts
    for part in range(parts):
        hi = KEYS if part == parts - 1 else (part + 1) * width
        for replica in range(replicas):
            held = sample.holding(2**60 + part * replicas + replica, [(part * width, hi)], parts)
            found.on_holdings(held)
    return found


def _query_us(parts: int, hits: int, answers: int) -> float:
    relays = max(1, parts // PARTS_A_RELAY)
    targets = [RelayTarget(f"kgn-a-{number}/relay", 7) for number in range(relays)]

    def relay_of(upstream_id: int) -> RelayTarget:
        return targets[upstream_id // 2 % relays]

    core = QueryCore(QueryPolicy(), catalog(parts), relay_of, random.Random(1))
    bodies: dict[tuple[int, int], bytes] = {}
    times = _QUERIES // (3 * parts) + 5
    _carry_out(core, 0, hits, answers, bodies)
    spent_ns = sum(_carry_out(core, 1 + n, hits, answers, bodies) for n in range(times))
    return spent_ns / 1000 / times


def _carry_out(core: QueryCore, number: int, hits: int, answers: int, bodies: dict) -> int:
    """Carry out one query; the searchers' side is made outside the measured time."""
    now_ms = 300.0 * number
    request = SearchRequest(
        number, sample.COLLECTION, "bearing", 10, sample.TRAFFIC_CLASS, 230.0, 1
    )
    started_ns = time.process_time_ns()
    effects = core.start(request, now_ms)
    spent_ns = time.process_time_ns() - started_ns
    messages = [
        (effect.relay, reply)
        for effect in effects
        if isinstance(effect, SendBatch)
        for reply in _messages(effect, hits, answers, bodies)
    ]
    done: list = []
    started_ns = time.process_time_ns()
    for relay, message in messages:
        done = core.on_reply(relay, message, now_ms + 10.0)
    core.tick(now_ms + 20.0)
    spent_ns += time.process_time_ns() - started_ns
    if not any(isinstance(effect, Answer) and not effect.missing for effect in done):
        raise RuntimeError("a query was not answered whole")
    return spent_ns


def _messages(effect: SendBatch, hits: int, answers: int, bodies: dict) -> Iterator[ReplyBatch]:
    batch = effect.batch
    for first in range(0, len(batch.parts), answers):
        rows = slice(first, first + answers)
        ranges = list(zip(batch.los[rows], batch.his[rows], strict=True))
        for lo, hi in ranges:
            if (lo, hi) not in bodies:
                bodies[lo, hi] = sample.body(lo, hi, hits)
        count = len(ranges)
        zeros = (0,) * count
        yield ReplyBatch(
            1,
            (batch.call_id,) * count,
            batch.parts[rows],
            batch.attempts[rows],
            zeros,
            zeros,
            zeros,
            zeros,
            tuple(bodies[each] for each in ranges),
        )
