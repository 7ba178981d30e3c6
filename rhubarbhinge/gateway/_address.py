"""A listening address."""

from typing import NamedTuple


class Address(NamedTuple):
    """A listening address.

    :ivar ip: the IP address.
    :ivar port: the port.
    """

    ip: str
    port: int
