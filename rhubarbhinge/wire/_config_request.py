"""Request for a document or what changed in it (peer link)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Pull one chunk of a transfer; the first request has offset 0.

    :param key: ``register``, ``rules`` or ``vms``.
    :param base_revision: the requester's accepted revision; 0 for none.
    :param base_hash: hash of the requester's accepted bytes.
    :param revision: revision of the transfer being continued; 0 to begin.
    :param content_hash: content hash of the transfer being continued; 0 to begin.
    :param offset: first byte wanted of the encoded transfer.
    """

    key: str
    base_revision: int
    base_hash: int
    revision: int
    content_hash: int
    offset: int
