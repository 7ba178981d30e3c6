"""Communication with other entries: heartbeats, the published state and loans."""

from rhubarbhinge.peers._heartbeat_extras import HeartbeatExtras
from rhubarbhinge.peers._known_state import KnownState
from rhubarbhinge.peers._loan_client import LoanClient
from rhubarbhinge.peers._loan_log import LoanLog
from rhubarbhinge.peers._loan_service import LoanService
from rhubarbhinge.peers._peers import Peers
from rhubarbhinge.peers._quarantine_gossip import QuarantineGossip
from rhubarbhinge.peers._reports import PeerReport, PeerReports
from rhubarbhinge.peers._shared_source import SharedSource
from rhubarbhinge.peers._state_codec import DecodedState, StateError, decode_state, encode_state

__all__ = [
    "DecodedState",
    "HeartbeatExtras",
    "KnownState",
    "LoanClient",
    "LoanLog",
    "LoanService",
    "PeerReport",
    "PeerReports",
    "Peers",
    "QuarantineGossip",
    "SharedSource",
    "StateError",
    "decode_state",
    "encode_state",
]
