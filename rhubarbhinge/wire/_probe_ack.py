"""Answer to a probe (UDP)."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Says that a node runs; for an indirect probe, relayed by the node that was asked.

    :param sequence: number by which the sender matches the answer.
    :param sender: the sender's own identity and state.
    :param revisions: the sender's accepted configuration.
    :param subject: the node that is shown to be alive.
    :param updates: membership updates, bounded to the datagram.
    """

    sequence: int
    sender: Member
    revisions: ConfigDigest
    subject: Member
    updates: tuple[Member, ...]
