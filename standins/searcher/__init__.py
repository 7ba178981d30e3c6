"""The searcher: a small process that answers searches and runs actions, with faults on demand."""

from standins.searcher._effects import Answer, Effect, Event
from standins.searcher._holdings import Holdings
from standins.searcher._knobs import SearcherKnobs
from standins.searcher._model import Searcher
from standins.searcher._requests import RunRequest, SearchRequest

__all__ = [
    "Answer",
    "Effect",
    "Event",
    "Holdings",
    "RunRequest",
    "SearchRequest",
    "Searcher",
    "SearcherKnobs",
]
