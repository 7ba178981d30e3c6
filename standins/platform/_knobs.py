"""The knobs of the platform."""

from dataclasses import dataclass, field

CALLS_PER_S = 2_000
"""Calls that the platform answers a second over all readers (users' brief: what it gives)."""


@dataclass(frozen=True, slots=True)
class PlatformKnobs:
    """How the platform behaves; all can be set while it runs.

    :param down: Whether it answers 503.
    :param unreachable: Whether it closes each connection that asks.
    :param hang: Whether calls are never answered.
    :param cut_off: Readers for whom the platform is unreachable, as behind a partition.
    :param stale_revision: By key, an older revision to answer as though it were the newest.
    :param delay_ms: Wait before each answer.
    :param calls_per_s: Calls answered a second over all readers; 503 above.
    """

    down: bool = False
    unreachable: bool = False
    hang: bool = False
    cut_off: list[str] = field(default_factory=list)
    stale_revision: dict[str, int] = field(default_factory=dict)
    delay_ms: float = 0.0
    calls_per_s: float = CALLS_PER_S
