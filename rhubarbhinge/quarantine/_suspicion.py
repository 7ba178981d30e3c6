"""Evidence against a request, and how the evidence of several entries is merged."""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

CRASHES_TO_QUARANTINE = 3
"""Number of searcher crashes before a request is quarantined. A harmless request loses one searcher
to a crash now and then, and two to a crash in two failure domains; the third is the price of
certainty."""
MAX_MARKS = 8
"""Maximum number of crashed searchers listed per suspicion; more add no information. Each takes 11
bytes on the wire."""


def limit_marks(marks: Iterable[int]) -> frozenset[int]:
    """Limit the number of marks, deterministically, so that all entries keep the same ones.

    :param marks: the marks.
    :returns: the smallest marks.
    """
    return frozenset(sorted(marks)[:MAX_MARKS])


class Suspicion(Struct, frozen=True):
    """Evidence against one request.

    Suspicions of several entries can be merged in any order and repeatedly: the later round wins,
    within a round a reply outweighs any number of crashes, and crashes accumulate.

    :param fingerprint: fingerprint of the request.
    :param route: name of the route.
    :param round: incremented when a trial fails, and when a cleared request is suspected again.
    :param cleared: whether a searcher has replied to the request, which shows that it is harmless.
    :param marks: marks of the searchers that crashed during the request.
    :param since_ms: time of the last crash, on this process's monotonic clock.
    """

    fingerprint: str
    route: str
    round: int
    cleared: bool
    marks: frozenset[int]
    since_ms: float

    @property
    def quarantined(self) -> bool:
        """Whether enough searchers have crashed during the request."""
        return not self.cleared and len(self.marks) >= CRASHES_TO_QUARANTINE

    def merged_with(self, other: "Suspicion") -> "Suspicion":
        """Merge with another suspicion of the same request.

        :param other: the other suspicion.
        :returns: the merged suspicion.
        """
        if (self.round, self.cleared) != (other.round, other.cleared):
            return max(self, other, key=lambda one: (one.round, one.cleared))
        if self.marks == other.marks:
            # Network delay makes a received suspicion look younger than it is, so keep the earlier
            # time.
            return min(self, other, key=lambda one: one.since_ms)
        if self.marks < other.marks:
            return other
        if self.marks > other.marks:
            return self
        marks = limit_marks(self.marks | other.marks)
        return replace(self, marks=marks, since_ms=max(self.since_ms, other.since_ms))
