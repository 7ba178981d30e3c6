"""Report on the open work of an entry that stops minting."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Open tickets, runs and calls of an entry when it stops minting.

    :param unused: number of tickets that have neither expired nor been used.
    :param running: number of tickets that are consumed and have no outcome yet.
    :param forwards: number of calls to other entries without a reply.
    :param open_ms: upper bound of the time until all of them are over, in ms.
    """

    unused: int
    running: int
    forwards: int
    open_ms: int
