"""One component that owns a UDP socket."""

import itertools
import socket
from collections.abc import Callable

from circuits import BaseComponent, handler

from rhubarbhinge.net._poller import ReadyPoller
from rhubarbhinge.net._ready import act_on_ready
from rhubarbhinge.net._sockets import datagram_socket
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.shared import shared_component

DATAGRAM_BYTES = 64 * 1024
"""Most bytes of one datagram."""

DATAGRAMS_PER_TURN = 64
"""Most datagrams read in one loop turn."""

_channels = itertools.count(1)


class Datagrams(BaseComponent):
    """Owns one UDP socket; what can not be sent at once is lost, as on the network.

    :param on_datagram: called with the sender's IP address and port, and the bytes.
    :param bind: IP address and port to bind.
    :param channel: the circuits channel, unique by default.
    :raises OSError: when the port can not be bound.
    """

    def __init__(
        self,
        on_datagram: Callable[[str, int, bytes], None],
        bind: tuple[str, int],
        channel: str | None = None,
    ):
        super().__init__(channel=channel or f"datagrams-{next(_channels)}")
        self._on_datagram = on_datagram
        self._sock: socket.socket | None = datagram_socket(bind)
        self._port = self._sock.getsockname()[1]
        self._poller: ReadyPoller | None = None
        self._timers: TimerService | None = None

    @property
    def bound_port(self) -> int:
        """The port bound."""
        return self._port

    def send(self, ip: str, port: int, data: bytes) -> None:
        """Send one datagram now.

        :param ip: the receiver's IP address.
        :param port: the receiver's port.
        :param data: the bytes.
        """
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, (ip, port))
        except OSError:
            return

    @handler("registered", channel="*")
    def _on_registered(self, component, manager) -> None:
        if component is self:
            self._timers = shared_component(self, TimerService)
            self._poller = shared_component(self, ReadyPoller)
            self._poller.addReader(self, self._sock)

    @handler("stopped", channel="*")
    def _on_stopped(self, manager) -> None:
        if self._sock is None:
            return
        if self._poller is not None:
            self._poller.discard(self._sock)
        self._sock.close()
        self._sock = None

    def on_readable(self, sock) -> None:
        """Read from a socket; called by the poller.

        :param sock: the socket.
        """
        if self.root.running:
            act_on_ready(self._timers, self._receive_all)

    @handler("_disconnect", "_error")
    def _on_fault(self, sock, *_) -> None:
        if sock is self._sock:
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._poller.discard(sock)
            self._poller.addReader(self, sock)

    def _receive_all(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            if self._sock is None:
                return
            try:
                data, address = self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._on_datagram(address[0], address[1], data)
