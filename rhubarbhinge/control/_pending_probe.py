"""One probe that waits for its answer."""

from dataclasses import dataclass


@dataclass(slots=True)
class PendingProbe:
    """What is to happen when the probe is answered or times out.

    :param name: the receiver's name; empty when only its address is known.
    :param incarnation: the incarnation that was probed.
    :param expires_ms: when the current wait ends.
    :param indirect: true once other members were asked to probe.
    :param relay_ip: who asked for the probe; empty for an own one.
    :param relay_port: its port.
    :param relay_sequence: its own sequence.
    """

    name: str
    incarnation: int
    expires_ms: int
    indirect: bool = False
    relay_ip: str = ""
    relay_port: int = 0
    relay_sequence: int = 0
