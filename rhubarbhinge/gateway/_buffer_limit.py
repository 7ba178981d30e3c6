"""Limit of the bytes that an entry buffers for others."""

from collections.abc import Iterable, Mapping

from msgspec import Struct

MEMORY_FRACTION = 1 / 8
"""Fraction of the VM's memory that may hold bytes for others. On a VM of 152 MB this is 19 MB; the
process, the published state and the kernel's own buffers need most of the rest."""
DEFAULT_LIMIT_BYTES = 64_000_000
"""Limit if the VM's memory is unknown."""
PAUSE_FRACTION = 1 / 2
"""Fraction of the limit above which large replies are not read further, so that half of it is left
for the responses to callers that read."""
RESUME_FRACTION = 3 / 8
"""Fraction of the limit below which all replies are read again; it is lower than
``PAUSE_FRACTION``, as a single response would otherwise start and end pauses."""
MAX_PAUSE_MS = 1_000.0
"""Maximum duration of a pause. Searchers close connections that are not read for some seconds, and
usage may stay high for as long as slow readers keep it there."""
MIN_READING_MS = 1_000.0
"""Minimum time between two pauses, in which large replies can be completed."""
STALLED_MS = 1_000.0
"""A reader that has taken nothing for this long is closed before all others. A caller that reads
continues within a few round trips, also after a lost packet, whose first retransmission takes 200
ms."""


class Reader(Struct, frozen=True):
    """A connection whose peer has not taken all that was sent.

    :param key: identifies the connection.
    :param unread_bytes: number of bytes buffered for the peer.
    :param quiet_ms: time for which the peer has taken nothing, in milliseconds.
    """

    key: tuple[str, int, int]
    unread_bytes: int
    quiet_ms: float


class BufferLimit:
    """Decides what has to be paused, refused and closed so that buffered bytes stay limited.

    :param memory_bytes: memory of the VM; 0 if it is unknown.
    :ivar limit_bytes: maximum number of buffered bytes.
    :ivar bytes_by_kind: buffered bytes at the last update, by kind.
    :ivar pauses_reading: whether large replies of searchers are not to be read further.
    """

    def __init__(self, memory_bytes: int):
        self.limit_bytes = int(memory_bytes * MEMORY_FRACTION) or DEFAULT_LIMIT_BYTES
        self.bytes_by_kind: dict[str, int] = {}
        self.pauses_reading = False
        self._changed_ms = -MIN_READING_MS

    @property
    def used_bytes(self) -> int:
        """Number of buffered bytes at the last update."""
        return sum(self.bytes_by_kind.values())

    @property
    def refuses_requests(self) -> bool:
        """Whether new requests are to be refused."""
        return self.used_bytes > self.limit_bytes

    def update(self, bytes_by_kind: Mapping[str, int], now_ms: float) -> None:
        """Record the buffered bytes and decide whether reading is paused.

        :param bytes_by_kind: buffered bytes by kind.
        :param now_ms: current time.
        """
        self.bytes_by_kind = dict(bytes_by_kind)
        elapsed_ms = now_ms - self._changed_ms
        if self.pauses_reading:
            is_below = self.used_bytes < RESUME_FRACTION * self.limit_bytes
            changes = is_below or elapsed_ms >= MAX_PAUSE_MS
        else:
            is_above = self.used_bytes > PAUSE_FRACTION * self.limit_bytes
            changes = is_above and elapsed_ms >= MIN_READING_MS
        if changes:
            self.pauses_reading = not self.pauses_reading
            self._changed_ms = now_ms

    def readers_to_close(self, readers: Iterable[Reader]) -> list[Reader]:
        """Choose the connections to close until usage is within the limit.

        Those whose readers have taken nothing for ``STALLED_MS`` come first, by unread bytes, then
        the others by the time for which they have taken nothing.

        :param readers: the connections with unread bytes.
        :returns: the connections, in the order in which they are closed; none within the limit.
        """
        excess_bytes = self.used_bytes - self.limit_bytes
        if excess_bytes <= 0:
            return []
        chosen = []
        for reader in sorted(readers, key=_closing_order):
            if excess_bytes <= 0:
                break
            chosen.append(reader)
            excess_bytes -= reader.unread_bytes
        return chosen


def _closing_order(reader: Reader) -> tuple[bool, float]:
    is_stalled = reader.quiet_ms >= STALLED_MS
    return not is_stalled, -(reader.unread_bytes if is_stalled else reader.quiet_ms)
