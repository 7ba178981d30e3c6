"""Claims about entries, as entries send them to each other."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from rhubarbhinge.members._member import Member, MemberState
from rhubarbhinge.utils.bounded_types import Count, Ipv4, Name
from rhubarbhinge.utils.strict_json import json_decoder

MOST_MEMBERS = 20_000
"""Most entries in a list; two and a half times the largest fleet that is planned for."""


class MembersError(ValueError):
    """Bytes that are no list of entries.

    :ivar code: why, for logs.
    """

    code = "bad-members"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A claim as it is sent: the fields of a :class:`Member`, in this order, without names.

    Later releases may append some.
    """

    name: Name
    ip: Ipv4
    failure_domain: Name
    start_id: Count
    counter: Count
    state: MemberState

    @classmethod
    def of(cls, member: Member) -> "Claim":
        """Give a claim the form in which it is sent.

        :param member: the claim.
        :returns: that form.
        """
        return cls(
            member.name,
            member.ip,
            member.failure_domain,
            member.start_id,
            member.counter,
            member.state,
        )

    def member(self) -> Member:
        """Give the claim.

        :returns: the claim.
        """
        return Member(
            self.name, self.ip, self.failure_domain, self.start_id, self.counter, self.state
        )


_read_claims = json_decoder(Annotated[list[Claim], msgspec.Meta(max_length=MOST_MEMBERS)])


def encode_members(members: Iterable[Member]) -> bytes:
    """Encode a list of entries.

    :param members: the entries.
    :returns: the bytes.
    """
    return msgspec.json.encode([Claim.of(member) for member in members])


def decode_members(data: bytes) -> list[Member]:
    """Decode a list of entries.

    :param data: the bytes, from anyone.
    :returns: the entries.
    :raises MembersError: when they are none.
    """
    try:
        return [claim.member() for claim in _read_claims(data)]
    except ValueError as error:
        raise MembersError(f"a peer's bytes are no list of entries: {error}") from error
