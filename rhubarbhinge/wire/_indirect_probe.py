"""Request to probe a third node (UDP)."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Ask the receiver to probe ``target`` and to pass on its answer.

    :param sequence: number by which the sender matches the answer.
    :param sender: the sender's own identity and state.
    :param revisions: the sender's accepted configuration.
    :param target: the node to probe.
    :param updates: membership updates, bounded to the datagram.
    """

    sequence: int
    sender: Member
    revisions: ConfigDigest
    target: Member
    updates: tuple[Member, ...]
