"""A poller that calls the owners of ready sockets directly."""

import errno
import select
from typing import Any, Protocol

from circuits.core.pollers import EPoll


class SocketOwner(Protocol):
    """A component that owns sockets."""

    def on_readable(self, sock: Any) -> None:
        """Handle a readable socket.

        :param sock: the socket.
        """

    def on_writable(self, sock: Any) -> None:
        """Handle a writable socket.

        :param sock: the socket.
        """


class ReadyPoller(EPoll):
    """An epoll poller that calls socket owners directly instead of firing an event for each socket.

    Firing a circuits event costs about as much as reading and parsing a message. Hang-ups and
    socket errors, which are rare, are still fired as events.
    """

    def __init__(self) -> None:
        super().__init__()
        self._owners: dict[Any, SocketOwner] = {}

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Start watching a socket for input.

        :param source: the owner of the socket.
        :param fd: the socket.
        """
        self._owners[fd] = source
        super().addReader(source, fd)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Start watching a socket for writability.

        :param source: the owner of the socket.
        :param fd: the socket.
        """
        self._owners[fd] = source
        super().addWriter(source, fd)

    def discard(self, fd: Any) -> None:
        """Stop watching a socket.

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
        # Look up all sockets before running any callback: a socket opened by a callback may reuse
        # the file descriptor number of one that another callback has closed.
        resolved = [(fileno, self._map.get(fileno), mask) for fileno, mask in ready]
        for fileno, sock, mask in resolved:
            if sock is not None and self._map.get(fileno) is sock:
                self._dispatch(fileno, sock, mask)

    def _dispatch(self, fileno: int, sock: Any, mask: int) -> None:
        owner = self._owners.get(sock)
        if owner is None or not mask & (select.EPOLLIN | select.EPOLLOUT):
            self._process(fileno, mask)
            return
        if mask & select.EPOLLIN:
            owner.on_readable(sock)
        if mask & select.EPOLLOUT and self._map.get(fileno) is sock:
            owner.on_writable(sock)
