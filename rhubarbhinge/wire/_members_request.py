"""Request for a page of the member list (UDP)."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class MembersRequest:
    """Ask for the members of one failure domain, in the order of names.

    :param sequence: number by which the sender matches the answer.
    :param sender: the sender's own identity and state.
    :param revisions: the sender's accepted configuration.
    :param failure_domain: the failure domain whose members are wanted.
    :param after_name: the last name of the previous page; empty for the first page.
    """

    sequence: int
    sender: Member
    revisions: ConfigDigest
    failure_domain: str
    after_name: str
