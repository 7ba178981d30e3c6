"""Why a request is refused at once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request's refusal.

    :param code: a :class:`rhubarbhinge.wire.SubCode` value.
    :param retry_after_ms: when to come back; 0 where another time would not help.
    """

    code: int
    retry_after_ms: int = 0
