"""Sample messages and announcements."""

import orjson

from rhubarbhinge.register import TrafficClass
from rhubarbhinge.wire import HoldingReport, ReplyBatch, SubBatch, SubCode

COLLECTION = "overhauls"
VERSION = 41
RECORDS = 6_000
HITS = 10
TRAFFIC_CLASS = TrafficClass("planning", 4, "coverage", 230, 0.9, 0.05, 0.95)


def holding(upstream_id: int, ranges: list[tuple[int, int]], parts: int) -> HoldingReport:
    """Make a searcher's announcement.

    :param upstream_id: the searcher.
    :param ranges: what it holds.
    :param parts: ranges of the whole collection.
    :returns: the report.
    """
    count = len(ranges)
    los, his = zip(*ranges, strict=True)
    totals = (RECORDS * parts,) * count
    records = (RECORDS,) * count
    return HoldingReport(
        upstream_id, 1, (COLLECTION,) * count, (VERSION,) * count, totals, los, his, records
    )


def body(lo: int, hi: int, hits: int = HITS) -> bytes:
    """Make a searcher's answer.

    :param lo: first key.
    :param hi: key after the last.
    :param hits: hits in it.
    :returns: JSON.
    """
    found = [
        {"id": f"overhauls-{number:05d}", "score": 0.91, "title": "bearing housing"}
        for number in range(hits)
    ]
    return orjson.dumps(
        {
            "call": "7.1",
            "collection": COLLECTION,
            "version": VERSION,
            "lo": lo,
            "hi": hi,
            "records": RECORDS,
            "hits": found,
        }
    )


def sub_batch(size: int) -> SubBatch:
    """Make a batch of sub-queries.

    :param size: how many.
    :returns: the message.
    """
    parts = tuple(range(size))
    ids = tuple(2**60 + part for part in parts)
    los = tuple(part * 400 for part in parts)
    his = tuple(lo + 400 for lo in los)
    attempts = (0,) * size
    return SubBatch(
        7, 7, 1, COLLECTION, VERSION, "bearing", 10, 230, 4, parts, attempts, ids, los, his
    )


def replies(batch: SubBatch, hits: int = HITS) -> ReplyBatch:
    """Answer a batch of sub-queries.

    :param batch: the batch.
    :param hits: hits in each answer.
    :returns: the message.
    """
    count = len(batch.parts)
    bodies = tuple(body(lo, hi, hits) for lo, hi in zip(batch.los, batch.his, strict=True))
    outcomes = (int(SubCode.ANSWERED),) * count
    zeros = (0,) * count
    return ReplyBatch(
        1,
        (batch.call_id,) * count,
        batch.parts,
        batch.attempts,
        outcomes,
        zeros,
        zeros,
        zeros,
        bodies,
    )
