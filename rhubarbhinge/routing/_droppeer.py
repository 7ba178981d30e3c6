"""Effect: close the link of a peer that violated the protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DropPeer:
    """Close a peer's link; the shell then calls ``on_peer_gone``.

    :param peer: the entry's link.
    :param code: error code for the log.
    """

    peer: str
    code: str
