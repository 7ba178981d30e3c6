"""How old one accepted document is."""

from dataclasses import dataclass

from rhubarbhinge.control._refused import Refused


@dataclass(frozen=True, slots=True)
class ConfigAge:
    """Staleness of one key, for status pages and metrics.

    :param key: the document's key.
    :param revision: accepted revision; 0 for none.
    :param in_force_ms: time since it was accepted.
    :param platform_age_ms: age of the platform's answers for all keys to a node in reach;
        -1 for never.
    :param last_refused: the newest refusal, if any.
    """

    key: str
    revision: int
    in_force_ms: int
    platform_age_ms: int
    last_refused: Refused | None
