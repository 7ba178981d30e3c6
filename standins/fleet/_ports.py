"""Free ports on the loopback address."""

import socket


def free_ports(number: int) -> list[int]:
    """Find free TCP ports on 127.0.0.1 that are also free for UDP.

    :param number: How many.
    :returns: Different ports; another process may still take one before it is used.
    """
    held: list[socket.socket] = []
    ports: list[int] = []
    try:
        while len(ports) < number:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            held.append(tcp)
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            if _holds_udp(port, held):
                ports.append(port)
    finally:
        for taken in held:
            taken.close()
    return ports


def _holds_udp(port: int, held: list[socket.socket]) -> bool:
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    held.append(udp)
    try:
        udp.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True
