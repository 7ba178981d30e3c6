"""State of one TCP connection."""

import socket
from enum import Enum, auto

from rhubarbhinge.net._sockets import unacknowledged_bytes
from rhubarbhinge.timing import TimerHandle

MAX_BUFFERS_PER_SEND = 512
"""Maximum number of buffers in one ``sendmsg`` call; Linux accepts up to 1024 (``IOV_MAX``)."""


class LinkState(Enum):
    """Lifecycle states of a connection."""

    CONNECTING = auto()
    OPEN = auto()
    FLUSHING = auto()
    """Closed by this side as soon as all pending data has been written."""
    DRAINING = auto()
    """Shut down for writing; input is discarded until the peer closes its side."""


class Link:
    """State of one TCP connection.

    :param number: number that identifies the link.
    :param sock: the non-blocking socket.
    :param state: the initial state.
    :param peer_ip: IP address of the peer.
    :ivar taken_ms: time at which the peer was last seen to take bytes after a partial write; None
        if all writes were complete.
    :ivar unacknowledged_bytes: bytes in the kernel at that time, or at the last look since.
    """

    __slots__ = (
        "number",
        "sock",
        "state",
        "accepts_data",
        "peer_ip",
        "pending",
        "pending_bytes",
        "dirty",
        "watching_writable",
        "timer",
        "taken_ms",
        "unacknowledged_bytes",
        "reading",
    )

    def __init__(self, number: int, sock: socket.socket, state: LinkState, peer_ip: str):
        self.number = number
        self.sock = sock
        self.state = state
        self.accepts_data = True
        self.peer_ip = peer_ip
        self.pending: list[bytes | memoryview] = []
        self.pending_bytes = 0
        self.dirty = False
        self.watching_writable = False
        self.timer: TimerHandle | None = None
        self.taken_ms: float | None = None
        self.unacknowledged_bytes = 0
        self.reading = True

    def write_pending(self) -> bool:
        """Write as much pending data as the kernel accepts.

        :returns: whether the kernel accepted everything offered in this call.
        :raises OSError: if nothing could be written.
        """
        if len(self.pending) == 1:
            offered_bytes = len(self.pending[0])
            written_bytes = self.sock.send(self.pending[0])
        else:
            buffers = self.pending[:MAX_BUFFERS_PER_SEND]
            offered_bytes = sum(map(len, buffers))
            written_bytes = self.sock.sendmsg(buffers)
        self.discard_written(written_bytes)
        return written_bytes == offered_bytes

    def note_taken(self, now_ms: float) -> None:
        """Record that the peer took bytes, as the kernel accepted more or this link just stalled.

        :param now_ms: current time.
        """
        self.taken_ms = now_ms
        self.unacknowledged_bytes = unacknowledged_bytes(self.sock)

    def look_for_progress(self, now_ms: float) -> None:
        """Check whether the peer acknowledged bytes since the last look.

        The kernel accepts more only when a large part of its buffer is free, which a slow reader
        reaches after minutes.

        :param now_ms: current time.
        """
        left_bytes = unacknowledged_bytes(self.sock)
        if left_bytes < self.unacknowledged_bytes:
            self.taken_ms = now_ms
        self.unacknowledged_bytes = left_bytes

    def discard_written(self, written_bytes: int) -> None:
        """Remove bytes that the kernel has accepted from the pending data.

        :param written_bytes: number of bytes to remove from the start.
        """
        self.pending_bytes -= written_bytes
        if not self.pending_bytes:
            self.pending.clear()
            return
        index = 0
        while written_bytes >= len(self.pending[index]):
            written_bytes -= len(self.pending[index])
            index += 1
        del self.pending[:index]
        if written_bytes:
            self.pending[0] = memoryview(self.pending[0])[written_bytes:]
