"""Searches: one request to every shard, merged into one answer."""

from rhubarbhinge.gather._far_search import (
    EndedSearcher,
    FarAsk,
    FarNews,
    FarPart,
    FarSearch,
    GrantAttempts,
)
from rhubarbhinge.gather._gather_terms import GatherTerms
from rhubarbhinge.gather._gathering import Gathering
from rhubarbhinge.gather._merge import RECORD_BYTES, merge_greatest
from rhubarbhinge.gather._results import Gathered, NotEnough
from rhubarbhinge.gather._shard_calls import ShardCalls, ShardEnd

__all__ = [
    "RECORD_BYTES",
    "EndedSearcher",
    "FarAsk",
    "FarNews",
    "FarPart",
    "FarSearch",
    "GatherTerms",
    "Gathered",
    "Gathering",
    "GrantAttempts",
    "NotEnough",
    "ShardCalls",
    "ShardEnd",
    "merge_greatest",
]
