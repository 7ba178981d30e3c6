"""Compressed framing of the messages on a link between entries."""

import zlib

from rhubarbhinge.delegation._message_size import MAX_MESSAGE_BYTES
from rhubarbhinge.delegation._messages import Message, decode_message, encode_message
from rhubarbhinge.net import MAX_FRAME_BYTES, FrameError, FrameSplitter, encode_frame

COMPRESSION_LEVEL = 3
"""Compression level. Every level finds names that occurred in earlier messages; levels 1 to 3
differ by a few percent in size and some 10 us per message."""
WINDOW_BITS = 13
"""Back-references reach at most 8 KB, some four requests of 90 shards. With this and
``MEMORY_LEVEL`` a link takes 72 KB of memory, with the library's defaults 290 KB."""
MEMORY_LEVEL = 6
"""Size of the compressor's hash tables; see ``WINDOW_BITS``."""
SYNC_TAIL = b"\x00\x00\xff\xff"
"""End of each flushed block (RFC 1979), omitted on the wire as in RFC 7692."""


class LinkCodec:
    """Encodes and decodes the messages of one link.

    Shard names and headers recur with each search, so the compression context is kept from one
    message to the next. That saves about half of the bytes between failure domains; the rest is
    mostly the signatures of replies.
    """

    def __init__(self) -> None:
        self._deflate = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
        )
        self._inflate = zlib.decompressobj(-WINDOW_BITS)
        self._splitter = FrameSplitter()

    def encode(self, message: Message) -> bytes:
        """Encode the next message to send.

        :param message: the message.
        :returns: the encoded bytes, which have to be sent in call order.
        :raises FrameError: with code ``oversized`` if the message is too long; the link is still
            usable.
        """
        message_data = encode_message(message)
        # Checked before the compression, whose context includes all data from then on.
        if len(message_data) > MAX_MESSAGE_BYTES:
            raise FrameError("oversized", f"a message of {len(message_data)} bytes is too long")
        data = self._deflate.compress(message_data)
        data += self._deflate.flush(zlib.Z_SYNC_FLUSH)
        return encode_frame(data.removesuffix(SYNC_TAIL))

    def feed(self, data: bytes) -> list[Message]:
        """Process bytes received on the link.

        :param data: the bytes.
        :returns: the messages completed by them.
        :raises FrameError: when the peer violates the protocol.
        """
        return [decode_message(self._decompress(payload)) for payload in self._splitter.feed(data)]

    def _decompress(self, payload: bytes) -> bytes:
        try:
            decompressed = self._inflate.decompress(payload + SYNC_TAIL, MAX_FRAME_BYTES)
        except zlib.error as error:
            raise FrameError("malformed", f"invalid compressed data: {error}") from error
        if self._inflate.unconsumed_tail or self._inflate.eof:
            raise FrameError("oversized", f"message exceeds {MAX_FRAME_BYTES} bytes")
        return decompressed
