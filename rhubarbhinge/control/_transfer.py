"""An encoded document on its way to peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Transfer:
    """What a sender cuts into chunks.

    :param revision: revision of the decoded document.
    :param digest: its content hash.
    :param base_revision: revision that the deltas apply to; 0 for a whole document.
    :param data: the compressed document, or a sequence of deltas with their lengths.
    """

    revision: int
    digest: int
    base_revision: int
    data: bytes
