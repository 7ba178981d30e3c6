"""Scatter-gather searches: one request to every shard, replies merged into one answer."""

from rhubarbhinge.gather._gather_terms import GatherTerms
from rhubarbhinge.gather._merge import RECORD_BYTES, merge_greatest
from rhubarbhinge.gather._results import Gathered, TooFewShards
from rhubarbhinge.gather._scatter_gather import ScatterGather
from rhubarbhinge.gather._shard_calls import ShardCalls, ShardEnd
from rhubarbhinge.gather._shard_delegation import (
    DelegatedSearch,
    EndedSearcher,
    FarNews,
    GrantAttempts,
    PartialResult,
    ShardDelegation,
)

__all__ = [
    "RECORD_BYTES",
    "DelegatedSearch",
    "EndedSearcher",
    "FarNews",
    "GatherTerms",
    "Gathered",
    "GrantAttempts",
    "PartialResult",
    "ScatterGather",
    "ShardCalls",
    "ShardDelegation",
    "ShardEnd",
    "TooFewShards",
    "merge_greatest",
]
