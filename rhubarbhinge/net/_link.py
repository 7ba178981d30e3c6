"""State of one TCP connection."""

import socket
from enum import Enum, auto

from rhubarbhinge.timing import Subscription


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
