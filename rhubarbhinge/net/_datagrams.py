"""A circuits component that owns one UDP socket."""

import itertools
import socket
from collections.abc import Callable

from circuits import BaseComponent, handler

from rhubarbhinge.net._poller import ReadyPoller
from rhubarbhinge.net._socket_callback import run_socket_callback
from rhubarbhinge.net._sockets import datagram_socket
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.shared import shared_component

MAX_DATAGRAM_BYTES = 64 * 1024
"""Receive buffer size for one datagram."""

MAX_RECEIVES_PER_ITERATION = 64
"""Maximum number of datagrams read in one event loop iteration."""

_channels = itertools.count(1)


class Datagrams(BaseComponent):
    """Sends and receives datagrams on one UDP socket.

    Datagrams that can't be sent immediately are dropped, as the network may do anyway.

    :param on_datagram: called with the sender's IP address and port, and the payload.
    :param bind: IP address and port to bind.
    :param channel: the circuits channel; unique by default.
    :raises OSError: if the port can't be bound.
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
        """The local port number."""
        return self._port

    def send(self, ip: str, port: int, data: bytes) -> None:
        """Send one datagram without blocking; errors are ignored.

        :param ip: IP address of the receiver.
        :param port: port of the receiver.
        :param data: the payload.
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
        """Receive pending datagrams; called by the poller.

        :param sock: the readable socket.
        """
        if self.root.running:
            run_socket_callback(self._timers, self._receive_pending)

    @handler("_disconnect", "_error")
    def _on_socket_error(self, sock, *_) -> None:
        if sock is self._sock:
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._poller.discard(sock)
            self._poller.addReader(self, sock)

    def _receive_pending(self) -> None:
        for _ in range(MAX_RECEIVES_PER_ITERATION):
            if self._sock is None:
                return
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            self._on_datagram(address[0], address[1], data)
