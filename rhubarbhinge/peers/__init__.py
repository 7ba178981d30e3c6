"""Other entries: keeping in touch, and handing on of published state."""

from rhubarbhinge.peers._known_state import KnownState
from rhubarbhinge.peers._peers import Peers
from rhubarbhinge.peers._quarantine_news import QuarantineNews
from rhubarbhinge.peers._reports import Report, Reports
from rhubarbhinge.peers._shared_source import SharedSource
from rhubarbhinge.peers._state_codec import StateError, ToldState, decode_state, encode_state

__all__ = [
    "KnownState",
    "Peers",
    "QuarantineNews",
    "Report",
    "Reports",
    "SharedSource",
    "StateError",
    "ToldState",
    "decode_state",
    "encode_state",
]
