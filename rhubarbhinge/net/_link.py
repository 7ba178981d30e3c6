"""State of one TCP connection."""

import socket
from enum import Enum, auto

from rhubarbhinge.timing import Subscription

BUFFERS_PER_SEND = 512
"""Most buffers in one ``sendmsg``; Linux takes up to 1024 (``IOV_MAX``)."""


class LinkState(Enum):
    """Where a connection stands."""

    CONNECTING = auto()
    OPEN = auto()
    FLUSHING = auto()
    """To be closed by this side once what is pending has been written."""
    DRAINING = auto()
    """Closed for writing; what still comes in is dropped until the peer closes too."""


class Link:
    """State of one TCP connection.

    :param number: the link's number.
    :param sock: its socket.
    :param state: where it stands.
    :param peer_ip: the peer's IP address.
    """

    __slots__ = (
        "number",
        "sock",
        "state",
        "takes_data",
        "peer_ip",
        "pending",
        "pending_bytes",
        "dirty",
        "polled_for_write",
        "timer",
    )

    def __init__(self, number: int, sock: socket.socket, state: LinkState, peer_ip: str):
        self.number = number
        self.sock = sock
        self.state = state
        self.takes_data = True
        self.peer_ip = peer_ip
        self.pending: list[bytes | memoryview] = []
        self.pending_bytes = 0
        self.dirty = False
        self.polled_for_write = False
        self.timer: Subscription | None = None

    def write_some(self) -> bool:
        """Give the kernel what it takes of what is pending.

        :returns: whether it took all that was offered.
        :raises OSError: when it took nothing.
        """
        if len(self.pending) == 1:
            offered_bytes = len(self.pending[0])
            written_bytes = self.sock.send(self.pending[0])
        else:
            buffers = self.pending[:BUFFERS_PER_SEND]
            offered_bytes = sum(map(len, buffers))
            written_bytes = self.sock.sendmsg(buffers)
        self.drop_written(written_bytes)
        return written_bytes == offered_bytes

    def drop_written(self, written_bytes: int) -> None:
        """Forget bytes that the kernel has taken.

        :param written_bytes: how many, from the start of what is pending.
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
