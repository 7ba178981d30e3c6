"""Making sockets."""

import socket
import sys

SILENCE_MS = 400
"""A peer that acknowledges nothing for so long is cut off; round trips take a few milliseconds."""
KEEPALIVE_S = 1
"""A quiet peer is asked for a sign of life after so long; the kernel takes whole seconds."""
BACKLOG = 1024
"""Connections that the kernel holds until they are accepted."""
_ROUND_TRIP_AT = 68
"""Where ``tcpi_rtt``, in us, stands in Linux' ``struct tcp_info``: 8 bytes, then 15 words."""
_TCP_INFO_BYTES = _ROUND_TRIP_AT + 4


_handed_over: dict[tuple[str, int], socket.socket] = {}


def hand_over(sock: socket.socket) -> None:
    """Give a listening socket that was made before this library was loaded.

    Connections that come while a process starts wait in its queue and are not refused.

    :param sock: the socket; :func:`listening_socket` returns it for its address.
    """
    sock.setblocking(False)
    _handed_over[sock.getsockname()] = sock


def listening_socket(bind: tuple[str, int]) -> socket.socket:
    """Make a TCP socket that listens, or take the one that was handed over for the address.

    :param bind: IP address and port; port 0 for any free one.
    :returns: the socket, which does not block.
    :raises OSError: when the port can not be bound.
    """
    ready = _handed_over.pop(tuple(bind), None)
    if ready is not None:
        return ready
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(bind)
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def connecting_socket(
    ip: str, port: int, notice_silence: bool = False
) -> tuple[socket.socket, int]:
    """Make a TCP socket and start its connection.

    :param ip: the peer's IP address.
    :param port: the peer's port.
    :param notice_silence: whether the connection ends when the peer's host is silent.
    :returns: the socket, which does not block, and the error number of its start.
    :raises OSError: when there is no room for a socket or the address is none.
    """
    socket.inet_pton(socket.AF_INET, ip)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if notice_silence:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    return sock, sock.connect_ex((ip, port))


def connect_error(sock: socket.socket) -> int:
    """Tell how a connection came out.

    :param sock: a socket whose connection has ended its start.
    :returns: the error number, 0 when connected.
    """
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def round_trip_ms(sock: socket.socket) -> float:
    """Tell the round trip that the kernel has measured on a connection, first in its handshake.

    :param sock: a connected socket.
    :returns: the time, 0 where the kernel does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < _TCP_INFO_BYTES:
        return 0.0
    return int.from_bytes(info[_ROUND_TRIP_AT:_TCP_INFO_BYTES], sys.byteorder) / 1e3


def is_self_connected(sock: socket.socket) -> bool:
    """Tell whether a socket is connected to itself.

    That happens when nothing listens at a local port and the kernel picks the same port for this
    end (simultaneous open, RFC 9293, 3.5).

    :param sock: a connected socket.
    :returns: whether both ends are the same.
    """
    return sock.getsockname() == sock.getpeername()


def datagram_socket(bind: tuple[str, int]) -> socket.socket:
    """Make a UDP socket.

    :param bind: IP address and port; port 0 for any free one.
    :returns: the socket, which does not block.
    :raises OSError: when the port can not be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(bind)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
