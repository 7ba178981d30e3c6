"""Searchers as they are published and as they are observed."""

from rhubarbhinge.fleet._choice import MaySend, Preference, always, best_searcher, expected_cost
from rhubarbhinge.fleet._cold_rule import ColdRule
from rhubarbhinge.fleet._cold_sends import ColdSends
from rhubarbhinge.fleet._delays import Delays
from rhubarbhinge.fleet._domain_reach import DomainReach
from rhubarbhinge.fleet._fleet import Fleet
from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._searcher import Searcher, SearcherStart
from rhubarbhinge.fleet._told_load import ToldLoad

__all__ = [
    "ColdRule",
    "ColdSends",
    "Delays",
    "DomainReach",
    "Fleet",
    "MaySend",
    "ObservedSearcher",
    "Preference",
    "Searcher",
    "SearcherStart",
    "ToldLoad",
    "always",
    "best_searcher",
    "expected_cost",
]
