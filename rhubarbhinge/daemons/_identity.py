"""Who this node is."""

import random
import time
from dataclasses import dataclass

#: Low bits of an incarnation that are random: two starts in one millisecond differ.
_RANDOM_BITS = 20


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this node is.

    :param name: node name, ``<vm>/<role>``.
    :param role: ``entry`` or ``relay``.
    :param failure_domain: its failure domain.
    :param ip: its address by number.
    :param peer_port: its TCP and UDP port for other nodes.
    :param incarnation: number of this process: start time, then random bits; later ones are larger.
    """

    name: str
    role: str
    failure_domain: str
    ip: str
    peer_port: int
    incarnation: int


def new_incarnation(rng: random.Random) -> int:
    """Number a process.

    :param rng: the system's random source.
    :returns: milliseconds since 1970 above 20 random bits; fits 63 bits until the year 2248.
    """
    started_ms = time.time_ns() // 1_000_000
    return started_ms << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)
