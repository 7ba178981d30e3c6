"""Resources of a VM, as its entry tells the others."""

from typing import Annotated

from msgspec import Meta, Struct

CORES_UNIT = 0.01
"""Processor capacity on the wire is a whole number of hundredths of a core."""
LINK_BITS_PER_MS_UNIT = 1_000.0
"""Link rates on the wire are whole numbers of Mbit/s."""

MAX_UNITS = 1_000_000
"""Greatest capacity that is accepted from another entry: 10,000 cores, 1 Tbit/s."""

CapacityUnits = Annotated[int, Meta(ge=0, le=MAX_UNITS)]
"""A capacity on the wire; 0 means unknown."""


class VmCapacity(Struct, frozen=True):
    """Resources of a VM; 0 means unknown.

    :param cores: processor capacity in cores of one VM type, which differ in speed.
    :param link_bits_per_ms: rate of the network link.
    """

    cores: float = 0.0
    link_bits_per_ms: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether both resources are known."""
        return self.cores > 0 and self.link_bits_per_ms > 0

    def to_wire(self) -> tuple[int, int]:
        """Convert to whole numbers.

        :returns: hundredths of a core and Mbit/s; a known resource is at least 1.
        """
        return (
            _whole_units(self.cores, CORES_UNIT),
            _whole_units(self.link_bits_per_ms, LINK_BITS_PER_MS_UNIT),
        )

    @classmethod
    def from_wire(cls, cores_percent: int, link_mbps: int) -> "VmCapacity":
        """Convert from whole numbers.

        :param cores_percent: hundredths of a core; 0 if unknown.
        :param link_mbps: link rate in Mbit/s; 0 if unknown.
        :returns: the resources.
        """
        return cls(cores_percent * CORES_UNIT, link_mbps * LINK_BITS_PER_MS_UNIT)


UNKNOWN_CAPACITY = VmCapacity()
"""Capacity of a VM whose entry does not tell it."""


def _whole_units(value: float, unit: float) -> int:
    return min(MAX_UNITS, max(1, round(value / unit))) if value > 0 else 0
