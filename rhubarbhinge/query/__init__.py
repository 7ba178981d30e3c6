"""Queries over many shards: plan, snapshot pin, coverage, hedges, merge, deadline."""

from rhubarbhinge.query._budget import ExtraLoadBudget
from rhubarbhinge.query._catalog import FIRST_KEY, LAST_KEY, Catalog
from rhubarbhinge.query._core import QueryCore, all_answers
from rhubarbhinge.query._effects import Answer, Effect, QueryStats, SendBatch, SendCancel, Shortfall
from rhubarbhinge.query._latency import LatencyWindow
from rhubarbhinge.query._missing import Missing
from rhubarbhinge.query._plan import Gap, Plan
from rhubarbhinge.query._policy import QueryPolicy
from rhubarbhinge.query._relaytarget import RelayTarget
from rhubarbhinge.query._scores import ReplicaScores
from rhubarbhinge.query._searchrequest import SearchRequest
from rhubarbhinge.query._tile import Tile
from rhubarbhinge.query._tiling import tiling

__all__ = [
    "FIRST_KEY",
    "LAST_KEY",
    "Answer",
    "Catalog",
    "Effect",
    "ExtraLoadBudget",
    "Gap",
    "LatencyWindow",
    "Missing",
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
    "Tile",
    "all_answers",
    "tiling",
]
