"""Where another node listens."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where another node listens.

    :param name: its node name.
    :param ip: its address by number.
    :param port: its peer port.
    """

    name: str
    ip: str
    port: int
