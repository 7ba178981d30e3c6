"""Another node, as its link shows it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node, as its signed hello shows it.

    :param name: node name.
    :param role: ``entry`` or ``relay``.
    :param failure_domain: its failure domain.
    :param incarnation: its incarnation; later ones are larger.
    """

    name: str
    role: str
    failure_domain: str
    incarnation: int
