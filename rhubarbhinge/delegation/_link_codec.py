"""Messages of one link between entries as a compressed stream of frames."""

import zlib

from rhubarbhinge.delegation._messages import Message, decode_message, encode_message
from rhubarbhinge.net import MAX_FRAME_BYTES, FrameError, FrameSplitter, encode_frame

LEVEL = 3
"""Effort of compression: names that stood in earlier messages are found at any; 1 to 3 differ by a
few percent in size and some 10 us a message."""
WINDOW_BITS = 13
"""Messages refer back by at most 8 KB, some four asks of 90 shards. A link takes 72 KB of memory
with this and ``MEMORY_LEVEL``, and 290 KB with the library's defaults."""
MEMORY_LEVEL = 6
"""Size of the compressor's tables; see ``WINDOW_BITS``."""
SYNC_TAIL = b"\x00\x00\xff\xff"
"""Ends each flushed block (RFC 1979); it is left out on the wire, as in RFC 7692."""


class LinkCodec:
    """Encodes and decodes the messages of one link.

    Names of shards and headers of callers come again with each search, so that each message is
    compressed with those before it as its dictionary. That saves about half of the bytes between
    failure domains; what is left are the signatures of replies.
    """

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)
        self._inflate = zlib.decompressobj(-WINDOW_BITS)
        self._splitter = FrameSplitter()

    def encode(self, message: Message) -> bytes:
        """Encode a message that is sent next.

        :param message: the message.
        :returns: the bytes, which have to be sent in the order of the calls.
        """
        data = self._deflate.compress(encode_message(message))
        data += self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return encode_frame(data.removesuffix(SYNC_TAIL))

    def feed(self, data: bytes) -> list[Message]:
        """Take bytes from the link.

        :param data: what was read.
        :returns: the messages that are now whole.
        :raises FrameError: when the other end does not keep to the protocol.
        """
        return [decode_message(self._restored(payload)) for payload in self._splitter.feed(data)]

    def _restored(self, payload: bytes) -> bytes:
        try:
            restored = self._inflate.decompress(payload + SYNC_TAIL, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise FrameError("malformed", f"bytes that were not compressed: {error}") from error
        if self._inflate.unconsumed_tail or self._inflate.eof:
            raise FrameError("oversized", f"a message of over {MAX_FRAME_BYTES} bytes")
        return restored
