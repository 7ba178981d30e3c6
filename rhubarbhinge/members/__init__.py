"""Gossip membership of the fleet's entries, at a cost per entry independent of the fleet size."""

from rhubarbhinge.members._heartbeat import (
    MAX_FULL_SEARCHERS,
    MAX_HEARTBEAT_BYTES,
    MAX_REPORTED_ROUTES,
    FullSearcher,
    Heartbeat,
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from rhubarbhinge.members._member import Member, MemberState, supersedes
from rhubarbhinge.members._member_table import MemberTable
from rhubarbhinge.members._members_codec import MembersError, decode_members, encode_members
from rhubarbhinge.members._membership import Membership, PublishedStatus
from rhubarbhinge.members._table_sync import TableSync
from rhubarbhinge.members._vm_capacity import UNKNOWN_CAPACITY, VmCapacity

__all__ = [
    "MAX_HEARTBEAT_BYTES",
    "MAX_REPORTED_ROUTES",
    "MAX_FULL_SEARCHERS",
    "UNKNOWN_CAPACITY",
    "FullSearcher",
    "Heartbeat",
    "HeartbeatError",
    "Member",
    "MemberState",
    "MemberTable",
    "MembersError",
    "Membership",
    "PublishedStatus",
    "TableSync",
    "VmCapacity",
    "decode_heartbeat",
    "decode_members",
    "encode_heartbeat",
    "encode_members",
    "supersedes",
]
