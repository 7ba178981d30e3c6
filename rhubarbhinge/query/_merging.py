"""Merging of the hits of a query's parts into its answer."""

import heapq

from rhubarbhinge.query._effects import Answer, QueryStats
from rhubarbhinge.query._missing_range import MissingRange
from rhubarbhinge.query._query import Query


def merged_answer(query: Query, now_ms: float) -> Answer:
    """Return the answer of a query, merged from the answered parts.

    :param query: the query.
    :param now_ms: current time in ms.
    :returns: the best hits, the coverage, and the missing ranges sorted by first key.
    """
    limit = query.request.limit
    hits = heapq.nsmallest(limit, query.hits, key=_rank)
    return Answer(
        query.request.request_id,
        query.request.collection,
        query.plan.version,
        tuple(hits),
        query.covered_records,
        query.plan.total_records,
        tuple(sorted(query.missing, key=_first_key)),
        QueryStats(
            now_ms - query.started_ms, query.base, query.hedges, query.retries, query.redirects
        ),
    )


def _rank(hit: dict) -> tuple[float, str]:
    return -hit["score"], str(hit["id"])


def _first_key(missing: MissingRange) -> int:
    return missing.lo
