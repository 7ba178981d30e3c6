"""Ports for processes that have to know each other's before they start."""

import fcntl
import os
import random
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import IO

FIRST_PORT = 10_000
"""Ports are taken below the range from which the kernel takes those of outgoing connections (32,768
up, Linux ip_local_port_range), so that no connection of anyone takes one before it is bound."""
END_PORT = 32_000
BLOCK_PORTS = 500
"""Ports that one test process holds at a time; a deployment of the tests takes some 130. Four
processes that drew from all ports at the same moment met at 5.7 ports on average of ten trials."""
LOCK_FOLDER = f"rhubarbhinge-ports-{os.getuid()}"

_locks: list[IO] = []
_mine: list[int] = []


def free_ports(number: int) -> list[int]:
    """Find free TCP ports on 127.0.0.1 that are also free for UDP.

    :param number: How many.
    :returns: Different ports that neither this process nor another one of the same user that runs
        gave before; a port can be someone's long before it is bound, or between two starts.
    :raises RuntimeError: When other test processes hold all ports.
    """
    ports: list[int] = []
    while len(ports) < number:
        if not _mine:
            _mine.extend(_lock_block())
            # In random order: some callers need ports that are not next to each other.
            random.SystemRandom().shuffle(_mine)
        port = _mine.pop()
        if _is_free(port):
            ports.append(port)
    return ports


def _lock_block() -> range:
    """Lock a block of ports until this process ends."""
    folder = Path(tempfile.gettempdir(), LOCK_FOLDER)
    folder.mkdir(exist_ok=True)
    for first in _shuffled_blocks():
        lock = open(folder / str(first), "w")  # noqa: SIM115 - held until the process ends
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return range(first, first + BLOCK_PORTS)
    raise RuntimeError("All ports are held by other test processes: run fewer at a time.")


def _shuffled_blocks() -> Iterator[int]:
    held = {Path(lock.name).name for lock in _locks}
    blocks = [first for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS) if str(first) not in held]
    random.SystemRandom().shuffle(blocks)
    return iter(blocks)


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
