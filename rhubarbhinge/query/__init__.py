"""Distributed queries: planning, snapshot pinning, hedging, retries, merging and deadlines."""

from rhubarbhinge.query._catalog import FIRST_KEY, LAST_KEY, Catalog
from rhubarbhinge.query._core import QueryCore, all_answers
from rhubarbhinge.query._effects import Answer, Effect, QueryStats, SendBatch, SendCancel, Shortfall
from rhubarbhinge.query._extra_load_budget import ExtraLoadBudget
from rhubarbhinge.query._key_range import KeyRange
from rhubarbhinge.query._latency_histogram import LatencyHistogram
from rhubarbhinge.query._missing_range import MissingRange
from rhubarbhinge.query._plan import Gap, Plan
from rhubarbhinge.query._policy import QueryPolicy
from rhubarbhinge.query._range_selection import select_ranges
from rhubarbhinge.query._relay_target import RelayTarget
from rhubarbhinge.query._replica_scores import ReplicaScores
from rhubarbhinge.query._search_request import SearchRequest

__all__ = [
    "FIRST_KEY",
    "LAST_KEY",
    "Answer",
    "Catalog",
    "Effect",
    "ExtraLoadBudget",
    "Gap",
    "KeyRange",
    "LatencyHistogram",
    "MissingRange",
    "Plan",
    "QueryCore",
    "QueryPolicy",
    "QueryStats",
    "RelayTarget",
    "ReplicaScores",
    "SearchRequest",
    "SendBatch",
    "SendCancel",
    "Shortfall",
    "all_answers",
    "select_ranges",
]
