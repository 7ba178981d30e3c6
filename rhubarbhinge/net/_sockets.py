"""Creation and inspection of non-blocking sockets."""

import contextlib
import fcntl
import socket
import struct
import sys
import termios

UNACKNOWLEDGED_TIMEOUT_MS = 400
"""Time without acknowledgement after which a connection is dropped; round trips take a few ms."""
KEEPALIVE_INTERVAL_S = 1
"""Idle time before, and interval between, keepalive probes; the kernel takes whole seconds."""
LISTEN_BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""
_RTT_OFFSET = 68
"""Offset of ``tcpi_rtt``, in us, in Linux' ``struct tcp_info``: after 8 bytes and 15 words."""
_TCP_INFO_BYTES = _RTT_OFFSET + 4
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``struct linger`` with a timeout of 0: closing discards unsent data and resets the connection."""


_provided_listeners: dict[tuple[str, int], socket.socket] = {}


def provide_listening_socket(sock: socket.socket) -> None:
    """Register a listening socket that was created before this package was imported.

    Connections that arrive while the process starts up then wait in its backlog instead of being
    refused.

    :param sock: the socket; :func:`listening_socket` returns it for its address.
    """
    sock.setblocking(False)
    _provided_listeners[sock.getsockname()] = sock


def listening_socket(bind: tuple[str, int]) -> socket.socket:
    """Create a listening TCP socket, or return the one registered for the address.

    :param bind: IP address and port; port 0 selects any free port.
    :returns: the non-blocking socket.
    :raises OSError: if the port can't be bound.
    """
    provided = _provided_listeners.pop(tuple(bind), None)
    if provided is not None:
        return provided
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(bind)
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def connecting_socket(
    ip: str, port: int, detect_dead_peers: bool = False
) -> tuple[socket.socket, int]:
    """Create a TCP socket and start connecting it.

    :param ip: IP address of the peer.
    :param port: port of the peer.
    :param detect_dead_peers: whether the connection is dropped when the peer's host stops
        responding.
    :returns: the non-blocking socket, and the error number of the connect call.
    :raises OSError: if no socket can be created or the address is invalid.
    """
    socket.inet_pton(socket.AF_INET, ip)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if detect_dead_peers:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        return sock, sock.connect_ex((ip, port))
    except OSError:
        sock.close()
        raise


def take_socket_error(sock: socket.socket) -> int:
    """Return and clear the pending error of a socket, such as the outcome of a connect.

    :param sock: the socket.
    :returns: the error number; 0 if there is none.
    """
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def round_trip_ms(sock: socket.socket) -> float:
    """Return the kernel's round-trip time estimate, which is first taken from the handshake.

    :param sock: a connected socket.
    :returns: the time in milliseconds; 0 if the kernel doesn't provide it.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < _TCP_INFO_BYTES:
        return 0.0
    return int.from_bytes(info[_RTT_OFFSET:_TCP_INFO_BYTES], sys.byteorder) / 1e3


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of bytes in the kernel that the peer has not acknowledged (``SIOCOUTQ``).

    :param sock: a connected socket.
    :returns: the number of bytes; 0 if the kernel doesn't provide it.
    """
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(answer, sys.byteorder)


def reset_on_close(sock: socket.socket) -> None:
    """Make closing a socket reset its connection and discard what the kernel has not sent.

    This has no effect if the connection no longer exists.

    :param sock: the socket.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def is_self_connected(sock: socket.socket) -> bool:
    """Return whether a socket is connected to itself.

    This happens if nothing listens on a local port and the kernel chooses the same port for the
    outgoing connection (simultaneous open, RFC 9293, section 3.5).

    :param sock: a socket that was connected.
    :returns: whether local and remote address are equal.
    :raises OSError: if the peer has reset the connection meanwhile.
    """
    return sock.getsockname() == sock.getpeername()


def datagram_socket(bind: tuple[str, int]) -> socket.socket:
    """Create a UDP socket.

    :param bind: IP address and port; port 0 selects any free port.
    :returns: the non-blocking socket.
    :raises OSError: if the port can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(bind)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
