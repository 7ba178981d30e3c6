"""What entries tell each other of requests that end searchers."""

from typing import Annotated

import msgspec

from rhubarbhinge.quarantine._suspicion import MOST_MARKS, Suspicion
from rhubarbhinge.utils.bounded_types import Milliseconds, Name

MOST_ROUND = 1_000
"""Greatest round that is read; a request is tried once an hour at most."""
MOST_MARK = (1 << 32) - 1


class ToldSuspicion(msgspec.Struct, frozen=True, array_like=True):
    """A :class:`Suspicion` as it is sent: in this order, with its age in place of its time.

    Later releases may append some.
    """

    fingerprint: Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{32}\Z")]
    route: Name
    round: Annotated[int, msgspec.Meta(ge=1, le=MOST_ROUND)]
    cleared: bool
    marks: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0, le=MOST_MARK)]],
        msgspec.Meta(max_length=MOST_MARKS),
    ]
    age_ms: Milliseconds

    @classmethod
    def of(cls, known: Suspicion, now_ms: float) -> "ToldSuspicion":
        """Give a suspicion the form in which it is sent.

        :param known: the suspicion.
        :param now_ms: the time.
        :returns: that form.
        """
        return cls(
            known.fingerprint,
            known.route,
            known.round,
            known.cleared,
            sorted(known.marks),
            round(max(0.0, now_ms - known.since_ms)),
        )

    def suspicion(self, now_ms: float) -> Suspicion:
        """Give the suspicion.

        :param now_ms: the time.
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
