"""Stand-ins of the operators' platform: its store, its searchers, and a deployment of entries."""

from standins.operators._configuration import HOST, configuration
from standins.operators._deployment import Deployment
from standins.operators._entry_process import Answer, EntryProcess
from standins.operators._model import CompactedError, StoreCopy, StoreModel
from standins.operators._proxy import Proxy
from standins.operators._searcher import Searcher
from standins.operators._store import Store

__all__ = [
    "Answer",
    "CompactedError",
    "Deployment",
    "EntryProcess",
    "HOST",
    "Proxy",
    "Searcher",
    "Store",
    "StoreCopy",
    "StoreModel",
    "configuration",
]
