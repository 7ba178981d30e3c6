"""A page of the member list (UDP)."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class MembersPage:
    """Members in the order of names, bounded to the datagram.

    :param sequence: number by which the sender matches the answer.
    :param sender: the sender's own identity and state.
    :param revisions: the sender's accepted configuration.
    :param updates: membership updates, bounded to the datagram.
    :param next_name: ask again after this name; empty on the last page.
    """

    sequence: int
    sender: Member
    revisions: ConfigDigest
    updates: tuple[Member, ...]
    next_name: str
