"""Bodies of replies without their content coding."""

import zlib

from msgspec.structs import replace

from rhubarbhinge.web._reply import Reply

ACCEPT_GZIP = (("Accept-Encoding", "gzip"),)
"""Header by which a client says that it takes compressed bodies."""
MOST_BODY_BYTES = 64 * 1024 * 1024
"""Most bytes of a decoded body; published state of 45,000 searchers has 10 MB."""
GZIP_WINDOW_BITS = 16 + zlib.MAX_WBITS
"""Tells zlib that gzip's header and checksum are around its stream."""


def decoded(reply: Reply) -> Reply | None:
    """Take a reply's content coding off.

    :param reply: the reply.
    :returns: the reply with its body as it was before; None when that can't be had.
    """
    coding = reply.headers.get("content-encoding", "").lower()
    if not coding:
        return reply
    if coding != "gzip":
        return None
    inflate = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        body = inflate.decompress(reply.body, MOST_BODY_BYTES)
    except zlib.error:
        return None
    return replace(reply, body=body) if inflate.eof else None
