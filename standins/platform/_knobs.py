"""The knobs of the platform."""

from dataclasses import dataclass, field

CALLS_PER_S = 2_000
"""Calls that the platform answers a second over all readers (users' brief: what it gives)."""


@dataclass(frozen=True, slots=True)
class PlatformKnobs:
    """How the platform behaves; all can be set while it runs.

    :param down: ``no`` when it is up; ``closed`` closes each connection that asks, ``refused``
        answers 503.
    :param hang: Whether calls are never answered.
    :param stale_revision: By key, an older revision to answer as though it were the newest.
    :param delay_ms: Wait before each answer.
    :param calls_per_s: Calls answered a second over all readers; 503 above.
    """

    down: str = "no"
    hang: bool = False
    stale_revision: dict[str, int] = field(default_factory=dict)
    delay_ms: float = 0.0
    calls_per_s: float = CALLS_PER_S
