"""Asking an entry of another failure domain to search the shards near it.

One reply with the merged records of several shards crosses between the domains in place of one
reply for each shard, and a searcher has fewer callers, which know more of its load.
"""

from rhubarbhinge.delegation._delegates import ANSWER_MARGIN_MS, Delegate, Delegates
from rhubarbhinge.delegation._far_sends import FarSends
from rhubarbhinge.delegation._link_codec import LinkCodec
from rhubarbhinge.delegation._messages import (
    Answer,
    Ask,
    Cancel,
    Leave,
    LeaveWanted,
    Taken,
    decode_message,
    encode_message,
)
from rhubarbhinge.delegation._serving import AskServer

__all__ = [
    "ANSWER_MARGIN_MS",
    "Answer",
    "Ask",
    "AskServer",
    "Cancel",
    "Delegate",
    "Delegates",
    "FarSends",
    "Leave",
    "LeaveWanted",
    "LinkCodec",
    "Taken",
    "decode_message",
    "encode_message",
]
