"""Length-prefixed frames on a byte stream."""

from rhubarbhinge.net._frame_error import FrameError

#: Size of the little-endian length prefix of each frame.
LENGTH_PREFIX_BYTES = 4
#: Maximum size of a caller's body that is passed on in a frame.
MAX_FRAME_BODY_BYTES = 1024 * 1024
#: Maximum payload size, with room for the names and tickets around a body.
MAX_FRAME_BYTES = MAX_FRAME_BODY_BYTES + 64 * 1024


def encode_frame(data: bytes) -> bytes:
    """Prefix a message with its length.

    :param data: an encoded message of at most :data:`MAX_FRAME_BYTES`.
    :returns: the frame.
    :raises FrameError: with code ``oversized`` if the message is too long.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(
            "oversized", f"a message of {len(data)} bytes exceeds the maximum frame size"
        )
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "little") + data


class FrameSplitter:
    """Splits a byte stream into frames.

    :param max_frame_bytes: maximum payload size; a longer frame is rejected as soon as its length
        prefix has been read, so that its payload is never buffered.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._pending = bytearray()

    def allow_max_frame_size(self) -> None:
        """Raise the limit to :data:`MAX_FRAME_BYTES`, after the peer has been authenticated."""
        self._max_frame_bytes = MAX_FRAME_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes read from the stream.

        :param data: the bytes.
        :returns: the payloads of all frames completed by these bytes.
        :raises FrameError: with code ``oversized`` or ``malformed`` (an empty frame).
        """
        self._pending += data
        frames = []
        start = 0
        while len(self._pending) - start >= LENGTH_PREFIX_BYTES:
            payload_start = start + LENGTH_PREFIX_BYTES
            size = int.from_bytes(self._pending[start:payload_start], "little")
            self._check_size(size)
            if len(self._pending) - payload_start < size:
                break
            frames.append(bytes(self._pending[payload_start : payload_start + size]))
            start = payload_start + size
        del self._pending[:start]
        return frames

    def _check_size(self, size: int) -> None:
        if size > self._max_frame_bytes:
            raise FrameError(
                "oversized", f"length prefix announces {size} bytes, above the maximum frame size"
            )
        if size == 0:
            raise FrameError("malformed", "length prefix announces an empty frame")
