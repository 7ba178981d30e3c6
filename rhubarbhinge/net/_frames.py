"""Length-prefixed frames on a byte stream."""

from rhubarbhinge.net._frameerror import FrameError

#: Bytes of the length in front of each frame.
LENGTH_BYTES = 4
#: Largest frame: a document of the platform is at most 1 MB and travels in chunks far below.
MAX_FRAME_BYTES = 1024 * 1024


def frame(data: bytes) -> bytes:
    """Put the length in front of a message.

    :param data: an encoded message of at most :data:`MAX_FRAME_BYTES`.
    :returns: the frame.
    :raises FrameError: with code ``oversized``.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError("oversized", f"{len(data)} bytes in one message")
    return len(data).to_bytes(LENGTH_BYTES, "little") + data


class FrameSplitter:
    """Cuts a byte stream into frames.

    :param max_frame_bytes: a longer frame is refused before its bytes are kept.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._pending = bytearray()

    def allow_largest(self) -> None:
        """Accept frames up to :data:`MAX_FRAME_BYTES`, once the other side is known."""
        self._max_frame_bytes = MAX_FRAME_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes from the stream.

        :param data: what was read.
        :returns: the payloads of the frames that are now whole.
        :raises FrameError: with code ``oversized`` or ``malformed`` (an empty frame).
        """
        self._pending += data
        frames = []
        start = 0
        while len(self._pending) - start >= LENGTH_BYTES:
            head = start + LENGTH_BYTES
            size = int.from_bytes(self._pending[start:head], "little")
            self._check(size)
            if len(self._pending) - head < size:
                break
            frames.append(bytes(self._pending[head : head + size]))
            start = head + size
        del self._pending[:start]
        return frames

    def _check(self, size: int) -> None:
        if size > self._max_frame_bytes:
            raise FrameError("oversized", f"a frame of {size} bytes was announced")
        if size == 0:
            raise FrameError("malformed", "an empty frame was announced")
