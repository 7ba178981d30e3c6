"""Claims about entries, as entries send them to each other."""

import ipaddress
from collections.abc import Iterable

import orjson

from rhubarbhinge.members._member import Member, MemberState

MOST_NAME_CHARS = 200
"""Longest name of a VM or failure domain; names of hosts have at most 253 characters."""
MOST_MEMBERS = 20_000
"""Most entries in a list; two and a half times the largest fleet that is planned for."""
MOST_COUNTER = 1 << 53
"""Bound of numbers, so that every JSON reader keeps them exactly."""


class MembersError(ValueError):
    """Bytes that are no list of entries.

    :ivar code: why, for logs.
    """

    code = "bad-members"


def member_fields(member: Member) -> list:
    """Give the fields of a claim in the order in which they are sent.

    :param member: the claim.
    :returns: the fields.
    """
    return [
        member.name,
        member.ip,
        member.failure_domain,
        member.start_id,
        member.counter,
        int(member.state),
    ]


def read_member(fields: list) -> Member:
    """Check and read the fields of a claim.

    :param fields: the fields, from anyone; later releases may append some.
    :returns: the claim.
    :raises TypeError: when a field is of another kind.
    :raises ValueError: when a field is out of its bounds, or there are too few.
    """
    name, ip, failure_domain, start_id, counter, state, *_ = fields
    return Member(
        name=read_name(name),
        ip=str(ipaddress.IPv4Address(ip)),
        failure_domain=read_name(failure_domain),
        start_id=read_number(start_id),
        counter=read_number(counter),
        state=MemberState(state),
    )


def read_name(value: object) -> str:
    """Check the name of a VM or a failure domain.

    :param value: the value, from anyone.
    :returns: the name.
    :raises ValueError: when it is none.
    """
    if not isinstance(value, str) or not 0 < len(value) <= MOST_NAME_CHARS:
        raise ValueError("a name is a text of 1 to 200 characters")
    return value


def read_number(value: object) -> int:
    """Check a count.

    :param value: the value, from anyone.
    :returns: the count.
    :raises ValueError: when it is none.
    """
    if type(value) is not int or not 0 <= value < MOST_COUNTER:
        raise ValueError("a count is a whole number from 0 to 2**53")
    return value


def encode_members(members: Iterable[Member]) -> bytes:
    """Encode a list of entries.

    :param members: the entries.
    :returns: the bytes.
    """
    return orjson.dumps([member_fields(member) for member in members])


def decode_members(data: bytes) -> list[Member]:
    """Decode a list of entries.

    :param data: the bytes, from anyone.
    :returns: the entries.
    :raises MembersError: when they are none.
    """
    try:
        listed = orjson.loads(data)
        if not isinstance(listed, list) or len(listed) > MOST_MEMBERS:
            raise ValueError(f"a list of at most {MOST_MEMBERS} entries is needed")
        return [read_member(fields) for fields in listed]
    except (TypeError, ValueError) as error:
        raise MembersError(f"a peer's bytes are no list of entries: {error}") from error
