"""A listening TCP socket that is watched by a component's poller."""

import errno
import socket
from collections.abc import Iterator

from circuits import BaseComponent
from circuits.core.pollers import BasePoller

from rhubarbhinge.net._sockets import listening_socket
from rhubarbhinge.timing import TimerService

MAX_ACCEPTS_PER_ITERATION = 64
"""Maximum number of connections accepted in one event loop iteration."""

ACCEPT_RETRY_DELAY_MS = 100.0
"""Time, in milliseconds, until accepting is retried after file descriptors ran out."""

_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """A listening TCP socket that stops accepting for a while when file descriptors run out.

    :param bind: IP address and port; port 0 selects any free port.
    :raises OSError: if the port can't be bound.
    """

    def __init__(self, bind: tuple[str, int]):
        self.sock = listening_socket(bind)
        self.port: int = self.sock.getsockname()[1]
        self._owner: BaseComponent | None = None
        self._poller: BasePoller | None = None
        self._timers: TimerService | None = None
        self._closed = False

    def attach(self, owner: BaseComponent, poller: BasePoller, timers: TimerService) -> None:
        """Start watching the socket for incoming connections.

        :param owner: the component whose ``on_readable`` method then calls :meth:`accept_pending`.
        :param poller: poller of the component tree.
        :param timers: timer service of the component tree.
        """
        self._owner = owner
        self._poller = poller
        self._timers = timers
        self._watch()

    def accept_pending(self) -> Iterator[tuple[socket.socket, str]]:
        """Accept waiting connections, up to a limit.

        :returns: non-blocking sockets and the IP addresses of their peers.
        """
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self._closed:
                return
            try:
                sock, address = self.sock.accept()
            except OSError as error:
                if error.errno in _RESOURCE_ERRORS:
                    self._pause_accepting()
                return
            try:
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:
                # The peer may have reset the connection while it waited to be accepted.
                sock.close()
                continue
            yield sock, address[0]

    def close(self) -> None:
        """Close the listening socket; may be called more than once."""
        if self._closed:
            return
        self._closed = True
        if self._poller is not None:
            self._poller.discard(self.sock)
        self.sock.close()

    def _watch(self) -> None:
        if not self._closed:
            self._poller.addReader(self._owner, self.sock)

    def _pause_accepting(self) -> None:
        self._poller.discard(self.sock)
        self._timers.after(ACCEPT_RETRY_DELAY_MS, self._watch)
