"""Encoding of transfers: a whole document, or deltas to apply one after another."""

import struct
from collections.abc import Iterable

from rhubarbhinge.control._bad_transfer import BadTransfer
from rhubarbhinge.control._content_hash import content_hash
from rhubarbhinge.control._delta import apply_delta, inflate
from rhubarbhinge.control._delta_link import DeltaLink

HEADER = struct.Struct("<QQI")


def join_links(links: Iterable[DeltaLink]) -> bytes:
    """Put deltas into one transfer.

    :param links: each applies to the result of the one before.
    :returns: the deltas, each after its revision, content hash and length.
    """
    return b"".join(_frame(link) for link in links)


def split_links(data: bytes) -> list[DeltaLink]:
    """Undo :func:`join_links`.

    :param data: a transfer with deltas.
    :returns: the deltas in their order.
    :raises BadTransfer: if the lengths do not fit the data.
    """
    links = []
    position = 0
    while position < len(data):
        if position + HEADER.size > len(data):
            raise BadTransfer("truncated header")
        revision, digest, length = HEADER.unpack_from(data, position)
        position += HEADER.size
        if position + length > len(data):
            raise BadTransfer("truncated delta")
        links.append(DeltaLink(revision, digest, data[position : position + length]))
        position += length
    return links


def decode_whole(data: bytes, digest: int) -> bytes:
    """Decode a transfer of a whole document.

    :param data: the transfer.
    :param digest: content hash that the document must have.
    :returns: the document's bytes.
    :raises BadTransfer: if the bytes are malformed or of another document.
    """
    return _checked(inflate(data), digest)


def decode_links(base: bytes, links: Iterable[DeltaLink]) -> bytes:
    """Apply deltas one after another.

    :param base: the document that the first applies to.
    :param links: the deltas.
    :returns: the document's bytes.
    :raises BadTransfer: if a delta is malformed or its result is not the one announced.
    """
    for link in links:
        base = _checked(apply_delta(base, link.delta), link.digest)
    return base


def _frame(link: DeltaLink) -> bytes:
    return HEADER.pack(link.revision, link.digest, len(link.delta)) + link.delta


def _checked(data: bytes, digest: int) -> bytes:
    if content_hash(data) != digest:
        raise BadTransfer("content hash differs")
    return data
