"""Binary difference between two versions of a document.

Documents are lists of many small JSON objects, and a change touches few of them. Both versions are
cut after each closing brace; pieces that the base holds are copied by position, the others are
spelled out, and the steps are compressed. zlib's own preset dictionary does not serve: its window
is 32 KB and documents reach 1 MB (docs/control.md has the figures).
"""

import struct
import zlib
from collections.abc import Iterator

from rhubarbhinge.control._bad_transfer import BadTransfer

CUT = b"}"
STEP = struct.Struct("<II")
SPELLED_OUT = 0xFFFFFFFF
DOCUMENT_LIMIT_BYTES = 2 * 1024 * 1024
COMPRESSION_LEVEL = 6


def encode_delta(base: bytes, target: bytes) -> bytes:
    """Describe a document by what it shares with another.

    :param base: the version that the receiver holds.
    :param target: the version to describe.
    :returns: compressed steps for :func:`apply_delta`.
    """
    return zlib.compress(b"".join(_steps(base, target)), COMPRESSION_LEVEL)


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Rebuild a document from the base and the difference.

    :param base: the version that the difference was made against.
    :param delta: what :func:`encode_delta` made.
    :returns: the document; compare its content hash, since another base gives other bytes.
    :raises BadTransfer: if the bytes are malformed or the document is above its limit.
    """
    steps = inflate(delta)
    target = bytearray()
    position = 0
    while position < len(steps):
        if position + STEP.size > len(steps):
            raise BadTransfer("truncated step")
        start, length = STEP.unpack_from(steps, position)
        position += STEP.size
        source = base
        if start == SPELLED_OUT:
            source, start = steps, position
            position += length
        if start + length > len(source) or len(target) + length > DOCUMENT_LIMIT_BYTES:
            raise BadTransfer("step outside its source or limit")
        target += source[start : start + length]
    return bytes(target)


def deflate(data: bytes) -> bytes:
    """Compress a whole document.

    :param data: the document.
    :returns: compressed bytes for :func:`inflate`.
    """
    return zlib.compress(data, COMPRESSION_LEVEL)


def inflate(data: bytes) -> bytes:
    """Decompress within the document limit.

    :param data: compressed bytes.
    :returns: the original.
    :raises BadTransfer: if the bytes are malformed or the result is above the limit.
    """
    stream = zlib.decompressobj()
    try:
        result = stream.decompress(data, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise BadTransfer(str(error)) from error
    if not stream.eof:
        raise BadTransfer("truncated or above the limit")
    return result


def _steps(base: bytes, target: bytes) -> Iterator[bytes]:
    places = _places(base)
    literal = bytearray()
    start = end = 0
    for piece in _pieces(target):
        if end > start and base.startswith(piece, end):
            end += len(piece)
            continue
        yield from _copy(start, end)
        place = places.get(piece)
        if place is None:
            start = end = 0
            literal += piece
            continue
        yield from _spell(literal)
        literal.clear()
        start, end = place, place + len(piece)
    yield from _copy(start, end)
    yield from _spell(literal)


def _copy(start: int, end: int) -> Iterator[bytes]:
    if end > start:
        yield STEP.pack(start, end - start)


def _spell(literal: bytearray) -> Iterator[bytes]:
    if literal:
        yield STEP.pack(SPELLED_OUT, len(literal)) + bytes(literal)


def _places(base: bytes) -> dict[bytes, int]:
    places: dict[bytes, int] = {}
    position = 0
    for piece in _pieces(base):
        places.setdefault(piece, position)
        position += len(piece)
    return places


def _pieces(data: bytes) -> list[bytes]:
    pieces = [piece + CUT for piece in data.split(CUT)]
    last = pieces.pop()[: -len(CUT)]
    return pieces + [last] if last else pieces
