"""Searches: one request to every shard, merged into one answer."""

from rhubarbhinge.gather._gathering import Gathered, Gathering, GatherTerms, NotEnough
from rhubarbhinge.gather._merge import RECORD_BYTES, merge_greatest

__all__ = [
    "RECORD_BYTES",
    "GatherTerms",
    "Gathered",
    "Gathering",
    "NotEnough",
    "merge_greatest",
]
