"""Searchers as they are published and as they are observed."""

from rhubarbhinge.fleet._choice import Preference, best_searcher, expected_cost
from rhubarbhinge.fleet._delays import Delays
from rhubarbhinge.fleet._domain_reach import DomainReach
from rhubarbhinge.fleet._fleet import Fleet
from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._searcher import Searcher, SearcherStart

__all__ = [
    "Delays",
    "DomainReach",
    "Fleet",
    "ObservedSearcher",
    "Preference",
    "Searcher",
    "SearcherStart",
    "best_searcher",
    "expected_cost",
]
