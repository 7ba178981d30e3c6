"""Searchers as published by the platform and as observed by this process."""

from rhubarbhinge.fleet._choice import (
    CostFunction,
    MaySend,
    allow_all,
    best_searcher,
    expected_cost,
)
from rhubarbhinge.fleet._cold_rule import ColdRule
from rhubarbhinge.fleet._cold_sends import ColdSends
from rhubarbhinge.fleet._delays import Delays
from rhubarbhinge.fleet._domain_reachability import DomainReachability
from rhubarbhinge.fleet._fleet import Fleet
from rhubarbhinge.fleet._observed import ObservedSearcher
from rhubarbhinge.fleet._reported_load import ReportedLoad
from rhubarbhinge.fleet._searcher import Searcher, SearcherStart
from rhubarbhinge.fleet._send_window import SendWindow

__all__ = [
    "ColdRule",
    "ColdSends",
    "CostFunction",
    "Delays",
    "DomainReachability",
    "Fleet",
    "MaySend",
    "ObservedSearcher",
    "ReportedLoad",
    "Searcher",
    "SearcherStart",
    "SendWindow",
    "allow_all",
    "best_searcher",
    "expected_cost",
]
