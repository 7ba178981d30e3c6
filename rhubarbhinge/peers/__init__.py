"""Other entries: who is alive, and handing on of published state."""

from rhubarbhinge.peers._heartbeat import (
    Heartbeat,
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from rhubarbhinge.peers._peer_table import PeerTable
from rhubarbhinge.peers._peers import Peers
from rhubarbhinge.peers._state_codec import StateError, decode_state, encode_state

__all__ = [
    "Heartbeat",
    "HeartbeatError",
    "PeerTable",
    "Peers",
    "StateError",
    "decode_heartbeat",
    "decode_state",
    "encode_heartbeat",
    "encode_state",
]
