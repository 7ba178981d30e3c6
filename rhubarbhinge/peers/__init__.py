"""Communication with other nodes: heartbeats and exchange of the published state."""

from rhubarbhinge.peers._known_state import KnownState
from rhubarbhinge.peers._peers import Peers
from rhubarbhinge.peers._quarantine_news import QuarantineNews
from rhubarbhinge.peers._reports import PeerReport, PeerReports
from rhubarbhinge.peers._shared_source import SharedSource
from rhubarbhinge.peers._state_codec import DecodedState, StateError, decode_state, encode_state

__all__ = [
    "DecodedState",
    "KnownState",
    "PeerReport",
    "PeerReports",
    "Peers",
    "QuarantineNews",
    "SharedSource",
    "StateError",
    "decode_state",
    "encode_state",
]
