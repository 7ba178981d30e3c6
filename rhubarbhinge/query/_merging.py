"""Merge the hits of a query's parts into its answer."""

import heapq

from rhubarbhinge.query._call import Call
from rhubarbhinge.query._effects import Answer, QueryStats
from rhubarbhinge.query._missing import Missing


def merged_answer(call: Call, now_ms: float) -> Answer:
    """Give the answer of a query from the parts that were answered.

    :param call: the query.
    :param now_ms: the time.
    :returns: the best hits, the coverage, and the ranges that are missing in key order.
    """
    limit = call.request.limit
    hits = heapq.nsmallest(limit, call.hits, key=_rank)
    return Answer(
        call.request.request_id,
        call.request.collection,
        call.plan.version,
        tuple(hits),
        call.covered_records,
        call.plan.total_records,
        tuple(sorted(call.lost, key=_first_key)),
        QueryStats(now_ms - call.started_ms, call.base, call.hedges, call.retries, call.redirects),
    )


def _rank(hit: dict) -> tuple[float, str]:
    return -hit["score"], str(hit["id"])


def _first_key(missing: Missing) -> int:
    return missing.lo
