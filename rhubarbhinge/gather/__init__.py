"""Scatter-gather searches: one request to every shard, replies merged into one answer."""

from rhubarbhinge.gather._gather_terms import GatherTerms
from rhubarbhinge.gather._merge import RECORD_BYTES, merge_greatest
from rhubarbhinge.gather._results import Gathered, TooFewShards
from rhubarbhinge.gather._scatter_gather import ScatterGather
from rhubarbhinge.gather._shard_calls import ShardCalls, ShardOutcome
from rhubarbhinge.gather._shard_delegation import (
    AttemptReport,
    DelegatedSearch,
    EndedSearcher,
    GrantAttempts,
    PartialResult,
    ShardDelegation,
)

__all__ = [
    "RECORD_BYTES",
    "AttemptReport",
    "DelegatedSearch",
    "EndedSearcher",
    "GatherTerms",
    "Gathered",
    "GrantAttempts",
    "PartialResult",
    "ScatterGather",
    "ShardCalls",
    "ShardDelegation",
    "ShardOutcome",
    "TooFewShards",
    "merge_greatest",
]
