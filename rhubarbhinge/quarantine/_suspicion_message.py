"""Wire format in which entries exchange suspicions."""

from typing import Annotated

import msgspec

from rhubarbhinge.quarantine._suspicion import MAX_MARKS, Suspicion
from rhubarbhinge.utils.bounded_types import Milliseconds, Name

MAX_ROUND = 1_000
"""Maximum round that is accepted; a request is tried at most once an hour."""
MAX_MARK = (1 << 32) - 1


class SuspicionMessage(msgspec.Struct, frozen=True, array_like=True):
    """Wire format of a :class:`Suspicion`: fields in this order, with its age instead of its time.

    Later releases may append fields.
    """

    fingerprint: Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{32}\Z")]
    route: Name
    round: Annotated[int, msgspec.Meta(ge=1, le=MAX_ROUND)]
    cleared: bool
    marks: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0, le=MAX_MARK)]],
        msgspec.Meta(max_length=MAX_MARKS),
    ]
    age_ms: Milliseconds

    @classmethod
    def from_suspicion(cls, known: Suspicion, now_ms: float) -> "SuspicionMessage":
        """Convert a suspicion to its wire format.

        :param known: the suspicion.
        :param now_ms: current time.
        :returns: the wire format.
        """
        return cls(
            known.fingerprint,
            known.route,
            known.round,
            known.cleared,
            sorted(known.marks),
            round(max(0.0, now_ms - known.since_ms)),
        )

    def to_suspicion(self, now_ms: float) -> Suspicion:
        """Convert back to a suspicion.

        :param now_ms: current time.
        :returns: the suspicion.
        """
        return Suspicion(
            self.fingerprint,
            self.route,
            self.round,
            self.cleared,
            frozenset(self.marks),
            now_ms - self.age_ms,
        )
