"""Effect: send one UDP message."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send ``message`` to an address as one datagram.

    :param ip: receiver's address.
    :param port: receiver's UDP port.
    :param message: a probe message of the ``wire`` subpackage.
    """

    ip: str
    port: int
    message: object
