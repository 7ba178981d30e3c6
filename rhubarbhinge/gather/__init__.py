"""Searches: one request to every shard, merged into one answer."""

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
    "EndedSearcher",
    "DelegatedSearch",
    "FarNews",
    "PartialResult",
    "ShardDelegation",
    "GatherTerms",
    "Gathered",
    "ScatterGather",
    "GrantAttempts",
    "TooFewShards",
    "ShardCalls",
    "ShardEnd",
    "merge_greatest",
]
