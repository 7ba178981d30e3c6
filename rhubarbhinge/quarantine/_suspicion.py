"""What entries know against one request, and how two accounts of it become one."""

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

CONVICTING_ENDS = 3
"""Searchers that end under a request before it is quarantined. A good request loses one to a crash
now and then, and two to a crash in two failure domains; the third is the price of certainty."""
MOST_MARKS = 8
"""Searchers that an account names, beyond which more say nothing new; 11 bytes each on the wire."""


def bounded(marks: Iterable[int]) -> frozenset[int]:
    """Keep as many marks as an account names, whoever joins it the same ones.

    :param marks: the marks.
    :returns: the least of them.
    """
    return frozenset(sorted(marks)[:MOST_MARKS])


class Suspicion(Struct, frozen=True):
    """What is known against one request.

    Accounts of several entries are joined in any order, and as often as they come: the later round
    counts, within a round a reply counts more than all ends, and ends add up.

    :param fingerprint: the request.
    :param route: name of its route.
    :param round: raised when a trial failed, and when a request that was cleared is accused again.
    :param cleared: whether a searcher has replied to it, which tells that it ends none.
    :param marks: searchers that ended while they had it, each by the mark of its start.
    :param since_ms: when the last of them ended, on this process' steady clock.
    """

    fingerprint: str
    route: str
    round: int
    cleared: bool
    marks: frozenset[int]
    since_ms: float

    @property
    def convicts(self) -> bool:
        """Whether enough searchers have ended under it."""
        return not self.cleared and len(self.marks) >= CONVICTING_ENDS

    def joined(self, other: "Suspicion") -> "Suspicion":
        """Join another account of the same request.

        :param other: the account.
        :returns: what both know.
        """
        if (self.round, self.cleared) != (other.round, other.cleared):
            return max(self, other, key=lambda one: (one.round, one.cleared))
        if self.marks == other.marks:
            # What was longer on its way seems to be younger.
            return min(self, other, key=lambda one: one.since_ms)
        if self.marks < other.marks:
            return other
        if self.marks > other.marks:
            return self
        marks = bounded(self.marks | other.marks)
        return replace(self, marks=marks, since_ms=max(self.since_ms, other.since_ms))
