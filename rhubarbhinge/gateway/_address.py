"""Where something listens."""

from typing import NamedTuple


class Address(NamedTuple):
    """Where something listens.

    :ivar ip: the IP address.
    :ivar port: the port.
    """

    ip: str
    port: int
