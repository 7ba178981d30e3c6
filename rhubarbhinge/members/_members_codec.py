"""Encoding of membership updates and of lists of them."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from rhubarbhinge.members._member import Member, MemberState
from rhubarbhinge.members._vm_capacity import CapacityUnits, VmCapacity
from rhubarbhinge.utils.bounded_types import Count, Ipv4, Name
from rhubarbhinge.utils.strict_json import json_decoder

MAX_MEMBERS = 20_000
"""Most entries in a list: two and a half times the largest planned fleet."""


class MembersError(ValueError):
    """Data that is not a valid list of entries.

    :ivar code: error code for logs.
    """

    code = "bad-members"


class WireMember(msgspec.Struct, frozen=True, array_like=True):
    """The wire form of a :class:`Member`, an array of its fields in this order.

    Later releases may append fields. Earlier ones do not send the capacity of the VM.
    """

    name: Name
    ip: Ipv4
    failure_domain: Name
    start_id: Count
    counter: Count
    state: MemberState
    cores_percent: CapacityUnits = 0
    link_mbps: CapacityUnits = 0

    @classmethod
    def from_member(cls, member: Member) -> "WireMember":
        """Convert a member to its wire form.

        :param member: the member.
        :returns: its wire form.
        """
        return cls(
            member.name,
            member.ip,
            member.failure_domain,
            member.start_id,
            member.counter,
            member.state,
            *member.capacity.to_wire(),
        )

    def to_member(self) -> Member:
        """Convert to a member.

        :returns: the member.
        """
        return Member(
            self.name,
            self.ip,
            self.failure_domain,
            self.start_id,
            self.counter,
            self.state,
            VmCapacity.from_wire(self.cores_percent, self.link_mbps),
        )


_decode_list = json_decoder(Annotated[list[WireMember], msgspec.Meta(max_length=MAX_MEMBERS)])


def encode_members(members: Iterable[Member]) -> bytes:
    """Encode a list of entries.

    :param members: the entries.
    :returns: the bytes.
    """
    return msgspec.json.encode([WireMember.from_member(member) for member in members])


def decode_members(data: bytes) -> list[Member]:
    """Decode a list of entries.

    :param data: untrusted bytes.
    :returns: the entries.
    :raises MembersError: when the bytes are not a valid list.
    """
    try:
        return [update.to_member() for update in _decode_list(data)]
    except ValueError as error:
        raise MembersError(f"invalid list of entries: {error}") from error
