"""Incarnations: random identifiers of process starts."""

from collections.abc import Callable

INCARNATION_BITS = 63
"""Random bits of an incarnation: 63, to fit a signed 64-bit field of a message."""


def draw_incarnation(getrandbits: Callable[[int], int]) -> int:
    """Draw a random identifier for one start of a process.

    A VM returns under its old name and address without any state, so a counter would start again
    and a clock may be set back. Either could give a new process the incarnation of an old one, so
    that it accepts and runs again tickets that the old one has already run. Two random numbers
    collide with a probability of 2**-63.

    :param getrandbits: the system's random source, as ``random.SystemRandom().getrandbits``.
    :returns: the incarnation.
    """
    return getrandbits(INCARNATION_BITS)
