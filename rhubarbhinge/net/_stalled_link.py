"""A link whose peer reads more slowly than data is sent."""

from msgspec import Struct


class StalledLink(Struct, frozen=True):
    """A link whose data the kernel accepted only in part.

    :param link: the link.
    :param peer_ip: IP address of the peer.
    :param unsent_bytes: number of bytes that the kernel has not accepted yet.
    :param quiet_ms: time for which the peer has taken nothing, in milliseconds.
    """

    link: int
    peer_ip: str
    unsent_bytes: int
    quiet_ms: float
