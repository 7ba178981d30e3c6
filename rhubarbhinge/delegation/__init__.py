"""Delegation of shard searches to entries in other failure domains.

The delegate searches the shards near it and returns one reply with their merged records, so that
one reply crosses between the domains instead of one per shard. It also means that each searcher has
fewer callers, each of which knows more about its load.
"""

from rhubarbhinge.delegation._capacity_split import (
    ASSUMED_SHARD_BYTES,
    SplitCandidate,
    shards_per_ms,
    split_by_capacity,
)
from rhubarbhinge.delegation._client import REPLY_MARGIN_MS, DelegateCall, DelegateClient
from rhubarbhinge.delegation._delegated_sender import DelegatedSender
from rhubarbhinge.delegation._domain_capacities import DomainCapacities
from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._message_size import can_delegate, request_fits
from rhubarbhinge.delegation._messages import (
    AttemptGrant,
    AttemptRequest,
    DelegateAccepted,
    DelegateCancel,
    DelegateReply,
    DelegateRequest,
    decode_message,
    encode_message,
)
from rhubarbhinge.delegation._server import DelegateServer

__all__ = [
    "ASSUMED_SHARD_BYTES",
    "REPLY_MARGIN_MS",
    "AttemptGrant",
    "AttemptRequest",
    "DelegateAccepted",
    "DelegateCall",
    "DelegateCancel",
    "DelegateClient",
    "DelegateReply",
    "DelegateRequest",
    "DelegateServer",
    "DelegatedSender",
    "DomainCapacities",
    "LinkCodec",
    "SplitCandidate",
    "can_delegate",
    "decode_message",
    "encode_message",
    "request_fits",
    "shards_per_ms",
    "split_by_capacity",
]
