"""A poller that calls the owners of ready sockets directly."""

import errno
import select
from typing import Any, Protocol

from circuits.core.pollers import EPoll


class SocketOwner(Protocol):
    """A component that owns sockets."""

    def on_readable(self, sock: Any) -> None:
        """Read.

        :param sock: the socket.
        """

    def on_writable(self, sock: Any) -> None:
        """Write.

        :param sock: the socket.
        """


class ReadyPoller(EPoll):
    """Tells owners of ready sockets by a call, not by an event for each.

    An event of circuits costs about as much as reading and parsing a message. Hang-ups and faults,
    which are rare, still come as events.
    """

    def __init__(self) -> None:
        super().__init__()
        self._owners: dict[Any, SocketOwner] = {}

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Watch a socket for reading.

        :param source: its owner.
        :param fd: the socket.
        """
        self._owners[fd] = source
        super().addReader(source, fd)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Watch a socket for writing.

        :param source: its owner.
        :param fd: the socket.
        """
        self._owners[fd] = source
        super().addWriter(source, fd)

    def discard(self, fd: Any) -> None:
        """Watch a socket no longer.

        :param fd: the socket.
        """
        self._owners.pop(fd, None)
        super().discard(fd)

    def _generate_events(self, event: Any) -> None:
        timeout_s = event.time_left
        try:
            ready = self._poller.poll() if timeout_s < 0 else self._poller.poll(timeout_s)
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        # Sockets are looked up before any callback runs: one that a callback opens may get the
        # number of one that another callback has closed.
        known = [(number, self._map.get(number), mask) for number, mask in ready]
        for number, sock, mask in known:
            if sock is not None and self._map.get(number) is sock:
                self._tell(number, sock, mask)

    def _tell(self, number: int, sock: Any, mask: int) -> None:
        owner = self._owners.get(sock)
        if owner is None or not mask & (select.EPOLLIN | select.EPOLLOUT):
            self._process(number, mask)
            return
        if mask & select.EPOLLIN:
            owner.on_readable(sock)
        if mask & select.EPOLLOUT and self._map.get(number) is sock:
            owner.on_writable(sock)
