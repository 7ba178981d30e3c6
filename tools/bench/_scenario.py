"""The scenarios that the variants are measured in."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from tools.bench import _faults as faults
from tools.bench._variant import FULL, NO_HEDGING, PLAIN

WARM_MS = 500.0
"""Load before the measured time, as long as the first connections and latencies take."""

LEARNING_MS = 2_000.0
"""The same where each entry has to find out first which searchers are slow."""


class Load(Enum):
    """How much is asked."""

    MODERATE = "moderate"
    """The most important class at the fixed rate of the latency scenarios."""
    OVERLOAD = "overload"
    """Both classes at 1.5 times the capacity."""
    UNCONTENDED = "uncontended"
    """The most important class at its rate of the overload, alone."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and a fault.

    :param name: its name in tables.
    :param variants: variants that are measured in it by default.
    :param load: how much is asked.
    :param before: fault brought about before the load begins.
    :param during: fault brought about a quarter into the measured time.
    :param warm_ms: load before the measured time, the fault of ``before`` being there already.
    :param is_last: whether it is measured after the others, since searchers take time to come back.
    :param weight: how many times as long as others it is measured.
    """

    name: str
    variants: tuple[str, ...]
    load: Load = Load.MODERATE
    before: faults.Fault = faults.no_fault
    during: faults.Fault = faults.no_fault
    warm_ms: float = WARM_MS
    is_last: bool = False
    weight: int = 1


_NO_OWN = "no-own-observation"
_NO_BUDGET = "no-retry-budget"
_NO_REFUSAL = "no-early-refusal"
_NO_AHEAD = "no-open-ahead"
_NO_QUEUE = "no-owner-queue"
_DIRECT = "direct"

SCENARIOS: Mapping[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        Scenario("calm", (FULL, PLAIN, _DIRECT), weight=2),
        Scenario(
            "straggler",
            (FULL, NO_HEDGING, _NO_OWN, PLAIN, _DIRECT),
            before=faults.stragglers,
            warm_ms=LEARNING_MS,
            weight=2,
        ),
        Scenario("straggler-onset", (FULL, NO_HEDGING), during=faults.stragglers),
        Scenario(
            "lost-replicas",
            (FULL, PLAIN),
            during=faults.lost_replicas,
            is_last=True,
        ),
        Scenario("cold-starts", (FULL, _NO_AHEAD), during=faults.cold_starts),
        Scenario("shedding", (FULL, _NO_BUDGET), before=faults.shedding),
        Scenario(
            "misleading-health",
            (FULL, _NO_OWN),
            before=faults.misleading_health,
            warm_ms=LEARNING_MS,
        ),
        Scenario("platform-outage", (FULL,), before=faults.platform_outage),
        Scenario("uncontended", (FULL,), load=Load.UNCONTENDED),
        Scenario(
            "overload",
            (FULL, _NO_REFUSAL, _NO_QUEUE, _NO_BUDGET, _DIRECT),
            load=Load.OVERLOAD,
            weight=2,
        ),
    )
}
"""All scenarios by name."""
