"""Effect: a member's state, incarnation or address changed."""

from dataclasses import dataclass

from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Tell the subscribers of membership.

    :param member: the member as it is now known.
    """

    member: Member
