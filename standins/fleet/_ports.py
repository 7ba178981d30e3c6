"""Ports for processes that have to know each other's before they start."""

import random
import socket

FIRST_PORT = 10_000
"""Ports are taken below the range from which the kernel takes those of outgoing connections (32,768
up, Linux ip_local_port_range), so that no connection of anyone takes one before it is bound."""
END_PORT = 32_000

_given: set[int] = set()
"""Ports given before: a port can be someone's long before it is bound, or between two starts."""


def free_ports(number: int) -> list[int]:
    """Find free TCP ports on 127.0.0.1 that are also free for UDP.

    :param number: How many.
    :returns: Different ports that this process did not give before, chosen at random so that
        concurrent processes seldom meet.
    """
    held: list[socket.socket] = []
    ports: list[int] = []
    candidates = [port for port in range(FIRST_PORT, END_PORT) if port not in _given]
    random.SystemRandom().shuffle(candidates)
    try:
        while len(ports) < number:
            port = candidates.pop()
            if _holds(port, held):
                ports.append(port)
    finally:
        for taken in held:
            taken.close()
    _given.update(ports)
    return ports


def _holds(port: int, held: list[socket.socket]) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        sock = socket.socket(socket.AF_INET, kind)
        held.append(sock)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
