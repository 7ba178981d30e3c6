"""A chunk of an encoded document (peer link)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigChunk:
    """Part of a transfer; the whole decodes to the document ``revision``.

    :param key: ``register``, ``rules`` or ``vms``.
    :param revision: revision that the transfer decodes to.
    :param content_hash: content hash of the decoded document.
    :param base_revision: revision that a delta applies to; 0 for a whole document.
    :param offset: position of ``data`` in the encoded transfer.
    :param total_bytes: length of the encoded transfer.
    :param data: at most 16 KB of the encoded transfer.
    """

    key: str
    revision: int
    content_hash: int
    base_revision: int
    offset: int
    total_bytes: int
    data: bytes
