"""Content codings of reply bodies."""

import zlib

from msgspec.structs import replace

from rhubarbhinge.web._reply import Reply

ACCEPT_GZIP = (("Accept-Encoding", "gzip"),)
"""Request header by which a client accepts compressed bodies."""
MAX_DECODED_BYTES = 64 * 1024 * 1024
"""Size limit of a decoded body; the published state of 45,000 searchers has 10 MB."""
GZIP_WINDOW_BITS = 16 + zlib.MAX_WBITS
"""Makes zlib expect the header and checksum of the gzip format."""


def decode_content(reply: Reply) -> Reply | None:
    """Remove the content coding of a reply.

    :param reply: the reply.
    :returns: the reply with its decoded body; None if the coding is not supported, or if the body
        is invalid or too large.
    """
    coding = reply.headers.get("content-encoding", "").lower()
    if not coding:
        return reply
    if coding != "gzip":
        return None
    decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
    try:
        body = decompressor.decompress(reply.body, MAX_DECODED_BYTES)
    except zlib.error:
        return None
    return replace(reply, body=body) if decompressor.eof else None
