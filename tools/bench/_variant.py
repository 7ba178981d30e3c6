"""The variants that are compared."""

from collections.abc import Mapping
from dataclasses import dataclass, field

_SWITCHED_OFF = "RHUBARBHINGE_SWITCHED_OFF"
_POOLS = "RHUBARBHINGE_POOLS"

FULL = "full"
"""The whole policy, which the others are compared with."""

PLAIN = "plain"
"""Random replica, no hedge."""

NO_HEDGING = "no-hedging"
"""The baseline without hedges that the aims speak of."""


@dataclass(frozen=True, slots=True)
class Variant:
    """A way to run the entries and relays.

    :param name: its name in tables.
    :param settings: environment variables of all nodes.
    """

    name: str
    settings: Mapping[str, str] = field(default_factory=dict)

    @property
    def is_direct(self) -> bool:
        """Whether entries hold their own connections to the searchers."""
        return self.settings.get(_POOLS) == "direct"


def _without(*mechanisms: str) -> Mapping[str, str]:
    return {_SWITCHED_OFF: ",".join(mechanisms)}


MECHANISMS = (
    "hedging",
    "own-observation",
    "retry-budget",
    "early-refusal",
    "open-ahead",
    "owner-queue",
)
"""What can be switched off."""

AIMED_AT = frozenset({FULL, NO_HEDGING, PLAIN, "direct"})
"""Variants that the aims and the baselines are about."""

VARIANTS: Mapping[str, Variant] = {
    variant.name: variant
    for variant in (
        Variant(FULL),
        *(Variant(f"no-{name}", _without(name)) for name in MECHANISMS),
        Variant(PLAIN, _without("hedging", "own-observation")),
        Variant("direct", {_POOLS: "direct"}),
    )
}
"""All variants by name."""
