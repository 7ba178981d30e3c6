"""Other entries: who is alive, and handing on of published state."""

from rhubarbhinge.peers._heartbeat import (
    Heartbeat,
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from rhubarbhinge.peers._peer_table import PeerTable
from rhubarbhinge.peers._peers import Peers
from rhubarbhinge.peers._shared_source import SharedSource
from rhubarbhinge.peers._state_codec import StateError, ToldState, decode_state, encode_state

__all__ = [
    "Heartbeat",
    "HeartbeatError",
    "PeerTable",
    "Peers",
    "SharedSource",
    "StateError",
    "ToldState",
    "decode_heartbeat",
    "decode_state",
    "encode_heartbeat",
    "encode_state",
]
