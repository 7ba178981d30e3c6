"""Reason for refusing a request on arrival."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request.

    :param code: a :class:`rhubarbhinge.wire.SubCode` value.
    :param retry_after_ms: retry-after in ms; 0 if a later retry would not help.
    """

    code: int
    retry_after_ms: int = 0
