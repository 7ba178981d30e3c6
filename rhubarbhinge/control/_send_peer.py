"""Effect: send one message on a peer link."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send ``message`` on the link to a member; drop it if there is no link in time.

    :param member_name: the intended receiver.
    :param message: a configuration message of the ``wire`` subpackage.
    """

    member_name: str
    message: object
