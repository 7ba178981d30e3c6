"""Log of recent state changes, from which other entries read incremental updates."""

import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._evacuation import Evacuation

Change = ServingPlan | Searcher | str | Evacuation
"""A new serving plan, an added or changed searcher, the incarnation of a removed searcher, or the
start or end of the evacuation of a failure domain."""
MAX_CHANGES = 1_000
"""Changes kept. An entry that is further behind receives the full state."""


class CoalescedChanges(NamedTuple):
    """The latest change of each object.

    :ivar plan: the serving plan, if it changed.
    :ivar searchers: added or changed searchers.
    :ivar removed: incarnations of removed searchers.
    :ivar evacuations: failure domains whose evacuation started or ended.
    """

    plan: ServingPlan | None
    searchers: tuple[Searcher, ...]
    removed: tuple[str, ...]
    evacuations: tuple[Evacuation, ...]


def coalesce(changes: Iterable[Change]) -> CoalescedChanges:
    """Reduce a series of changes to the latest change of each object.

    :param changes: the changes, in order.
    :returns: the latest changes.
    """
    plan: ServingPlan | None = None
    searchers: dict[str, Searcher | None] = {}
    evacuations: dict[str, Evacuation] = {}
    for change in changes:
        if isinstance(change, ServingPlan):
            plan = change
        elif isinstance(change, Searcher):
            searchers[change.incarnation] = change
        elif isinstance(change, str):
            searchers[change] = None
        else:
            evacuations[change.failure_domain] = change
    return CoalescedChanges(
        plan,
        tuple(searcher for searcher in searchers.values() if searcher is not None),
        tuple(incarnation for incarnation, searcher in searchers.items() if searcher is None),
        tuple(evacuations.values()),
    )


class ChangeLog:
    """The most recent changes, in the order in which this entry applied them.

    Positions count changes and are independent of the platform's revisions: a lapsed searcher is
    removed here later than the platform reported it.

    :param rng: generates the id of the log.
    """

    def __init__(self, rng: random.Random):
        self.id = f"{rng.getrandbits(64):016x}"
        self.position = 0
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)

    def append(self, change: Change) -> None:
        """Append a change.

        :param change: the change.
        """
        self._changes.append(change)
        self.position += 1

    def since(self, log_id: str, position: int) -> list[Change] | None:
        """Return the changes after a position.

        :param log_id: id of the log to which the position belongs.
        :param position: the position.
        :returns: the changes; None if the log differs or no longer holds all of them.
        """
        missing = self.position - position
        if log_id != self.id or not 0 <= missing <= len(self._changes):
            return None
        return list(self._changes)[len(self._changes) - missing :]

    def find_plan(self, version: int) -> ServingPlan | None:
        """Return a recently applied serving plan.

        :param version: its version.
        :returns: the serving plan; None if the log no longer holds it.
        """
        plans = (change for change in self._changes if isinstance(change, ServingPlan))
        return next((plan for plan in plans if plan.version == version), None)
