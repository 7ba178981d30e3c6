"""What a book still holds open when it stops minting."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainReport:
    """What a book still holds open when it stops minting.

    :param unused: tickets that have neither expired nor been used.
    :param running: tickets that are consumed and have no outcome yet.
    :param forwards: calls to other entries without a reply.
    :param open_ms: time until the last of them is over at the latest, in ms from now.
    """

    unused: int
    running: int
    forwards: int
    open_ms: int
