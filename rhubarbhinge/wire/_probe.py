"""Direct liveness probe (UDP)."""

from dataclasses import dataclass

from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._member import Member


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the named receiver whether it runs.

    :param sequence: number by which the sender matches the answer.
    :param sender: the sender's own identity and state.
    :param revisions: the sender's accepted configuration.
    :param receiver_name: the intended receiver; empty when only its address is known.
    :param receiver_incarnation: the intended receiver's incarnation; 0 when not known.
    :param updates: membership updates, bounded to the datagram.
    """

    sequence: int
    sender: Member
    revisions: ConfigDigest
    receiver_name: str
    receiver_incarnation: int
    updates: tuple[Member, ...]
