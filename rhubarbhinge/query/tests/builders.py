"""Builders of traffic classes, requests, announcements and replies for tests."""

import orjson

from rhubarbhinge.query import SearchRequest
from rhubarbhinge.register import TrafficClass
from rhubarbhinge.wire import HoldingReport, ReplyBatch, SubBatch
from standins import records

COLLECTION = "overhauls"
TEXT = "bearing"
KEYS = records.KEY_SPACE


def traffic_class(name="planning", least_coverage=0.5, extra_load=0.5, prefers="latency"):
    return TrafficClass(name, 1, prefers, 200, least_coverage, extra_load, 0.95)


def request(request_id=1, traffic=None, deadline_ms=200.0, text=TEXT, limit=10):
    traffic = traffic or traffic_class()
    return SearchRequest(request_id, COLLECTION, text, limit, traffic, deadline_ms, 1)


def count(version, lo, hi):
    return records.record_count(COLLECTION, version, lo, hi)


def holding(upstream_id, spans, incarnation=1):
    """Return a searcher's announcement of (version, lo, hi) ranges."""
    rows = [(COLLECTION, v, count(v, 0, KEYS), lo, hi, count(v, lo, hi)) for v, lo, hi in spans]
    columns = tuple(zip(*rows, strict=True)) or ((),) * 6
    return HoldingReport(upstream_id, incarnation, *columns)


def answer_body(version, lo, hi, text=TEXT, limit=10, **changed):
    """Return the body of a searcher's answer."""
    body = {
        "collection": COLLECTION,
        "version": version,
        "lo": lo,
        "hi": hi,
        "records": count(version, lo, hi),
        "hits": records.hits(COLLECTION, version, lo, hi, text, limit),
    }
    return orjson.dumps(body | changed)


def reply(*rows):
    """Return a batch of (call_id, part, attempt, outcome, retry_after_ms, body) rows."""
    call_ids, parts, attempts, outcomes, waits_ms, bodies = zip(*rows, strict=True)
    zeros = (0,) * len(rows)
    return ReplyBatch(1, call_ids, parts, attempts, outcomes, waits_ms, zeros, zeros, bodies)


def rows_of(batch: SubBatch):
    """Return the (part, attempt, upstream_id, lo, hi) rows of a batch."""
    return list(
        zip(batch.parts, batch.attempts, batch.upstream_ids, batch.los, batch.his, strict=True)
    )


def best_hits(version, spans, text=TEXT, limit=10):
    """Return the best hits of ranges, computed independently of the query core."""
    hits = [
        hit for lo, hi in spans for hit in records.hits(COLLECTION, version, lo, hi, text, limit)
    ]
    return sorted(hits, key=lambda hit: (-hit["score"], hit["id"]))[:limit]
