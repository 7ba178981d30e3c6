"""Incarnations: one number for each start of a process."""

from collections.abc import Callable

INCARNATION_BITS = 63
"""Random bits of an incarnation; 63, so that it fits a signed 64-bit field of a message."""


def draw_incarnation(getrandbits: Callable[[int], int]) -> int:
    """Draw the number that names one start of a process.

    A VM comes back under its old name and address and keeps nothing, so a counter would begin again
    and a clock may be set back; either could give a new process the incarnation of an old one,
    which would then accept, and run again, tickets that the old one has already run. A number drawn
    from the system's random source repeats with a chance of 2**-63 a pair of starts.

    :param getrandbits: the system's random source, as ``random.SystemRandom().getrandbits``.
    :returns: the incarnation.
    """
    return getrandbits(INCARNATION_BITS)
