"""A listening socket on the poller of a component."""

import errno
import socket
from collections.abc import Iterator

from circuits import BaseComponent
from circuits.core.pollers import BasePoller

from rhubarbhinge.net._sockets import listening_socket
from rhubarbhinge.timing import TimerService

ACCEPTS_PER_TURN = 64
"""Most connections accepted in one loop turn."""

ACCEPT_PAUSE_MS = 100.0
"""How long accepting rests when the process is out of descriptors, in milliseconds."""

_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """A listening socket; it rests while the process is out of descriptors.

    :param bind: IP address and port; port 0 for any free one.
    :raises OSError: when the port can not be bound.
    """

    def __init__(self, bind: tuple[str, int]):
        self.sock = listening_socket(bind)
        self.port: int = self.sock.getsockname()[1]
        self._owner: BaseComponent | None = None
        self._poller: BasePoller | None = None
        self._timers: TimerService | None = None
        self._closed = False

    def attach(self, owner: BaseComponent, poller: BasePoller, timers: TimerService) -> None:
        """Start to be polled.

        :param owner: the component whose ``_read`` handler then calls :meth:`accept_all`.
        :param poller: the tree's poller.
        :param timers: the tree's timer service.
        """
        self._owner = owner
        self._poller = poller
        self._timers = timers
        self._poll()

    def accept_all(self) -> Iterator[tuple[socket.socket, str]]:
        """Accept what waits, within a bound.

        :returns: sockets, which do not block, and their peers' IP addresses.
        """
        for _ in range(ACCEPTS_PER_TURN):
            if self._closed:
                return
            try:
                sock, address = self.sock.accept()
            except OSError as error:
                if error.errno in _EXHAUSTED:
                    self._rest()
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            yield sock, address[0]

    def close(self) -> None:
        """Accept no more connections; harmless when repeated."""
        if self._closed:
            return
        self._closed = True
        if self._poller is not None:
            self._poller.discard(self.sock)
        self.sock.close()

    def _poll(self) -> None:
        if not self._closed:
            self._poller.addReader(self._owner, self.sock)

    def _rest(self) -> None:
        self._poller.discard(self.sock)
        self._timers.after(ACCEPT_PAUSE_MS, self._poll)
