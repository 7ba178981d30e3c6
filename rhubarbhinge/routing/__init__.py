"""Relay logic for searcher queues, slots, connections and draining."""

from rhubarbhinge.routing._cancelupstream import CancelUpstream
from rhubarbhinge.routing._cells import CellTable, cells
from rhubarbhinge.routing._closeconnection import CloseConnection
from rhubarbhinge.routing._droppeer import DropPeer
from rhubarbhinge.routing._openconnection import OpenConnection
from rhubarbhinge.routing._ownership import owners, rendezvous
from rhubarbhinge.routing._ownertable import OwnerTable
from rhubarbhinge.routing._pollhealth import PollHealth
from rhubarbhinge.routing._publishholding import PublishHolding
from rhubarbhinge.routing._publishload import PublishLoad
from rhubarbhinge.routing._relaycore import RelayCore
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._reply import Reply
from rhubarbhinge.routing._runoutcome import RunOutcome
from rhubarbhinge.routing._runresult import RunResult
from rhubarbhinge.routing._sendrun import SendRun
from rhubarbhinge.routing._sendsearch import SendSearch
from rhubarbhinge.routing._upstreamspec import UpstreamSpec

__all__ = [
    "CancelUpstream",
    "CellTable",
    "CloseConnection",
    "DropPeer",
    "OpenConnection",
    "OwnerTable",
    "PollHealth",
    "PublishHolding",
    "PublishLoad",
    "RelayCore",
    "RelayPolicy",
    "Reply",
    "RunOutcome",
    "RunResult",
    "SendRun",
    "SendSearch",
    "UpstreamSpec",
    "cells",
    "owners",
    "rendezvous",
]
