"""The relay that owns a searcher."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayTarget:
    """A reachable relay.

    :param name: its node name.
    :param incarnation: its incarnation; later ones are larger.
    """

    name: str
    incarnation: int
