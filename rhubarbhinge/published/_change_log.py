"""The latest changes of what is known, for entries that follow this one."""

import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._evacuation import Evacuation

Change = ServingPlan | Searcher | str | Evacuation
"""A new plan, a searcher that came or changed, the incarnation of one that is gone, or a failure
domain that is evacuated or no longer."""
MOST_CHANGES = 1_000
"""Changes kept; an entry that is further behind takes everything anew."""


class NewestChanges(NamedTuple):
    """The newest change of each thing.

    :ivar plan: the configuration, if it changed.
    :ivar searchers: searchers that came or changed.
    :ivar removed: incarnations of those that are gone.
    :ivar evacuations: failure domains that are evacuated, or no longer.
    """

    plan: ServingPlan | None
    searchers: tuple[Searcher, ...]
    removed: tuple[str, ...]
    evacuations: tuple[Evacuation, ...]


def newest_of(changes: Iterable[Change]) -> NewestChanges:
    """Give the newest change of each thing.

    :param changes: the changes, in order.
    :returns: the newest ones.
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
    return NewestChanges(
        plan,
        tuple(one for one in searchers.values() if one is not None),
        tuple(name for name, one in searchers.items() if one is None),
        tuple(evacuations.values()),
    )


class ChangeLog:
    """The latest changes, in the order in which they were taken over here.

    Positions count changes, not the platform's revisions: a searcher that lapsed goes later than
    the platform told.

    :param rng: makes the log's id.
    """

    def __init__(self, rng: random.Random):
        self.id = f"{rng.getrandbits(64):016x}"
        self.position = 0
        self._changes: deque[Change] = deque(maxlen=MOST_CHANGES)

    def add(self, change: Change) -> None:
        """Take a change.

        :param change: the change.
        """
        self._changes.append(change)
        self.position += 1

    def since(self, log_id: str, position: int) -> list[Change] | None:
        """Give the changes after a position.

        :param log_id: the log that the position is of.
        :param position: the position.
        :returns: the changes; None when they are not known.
        """
        missing = self.position - position
        if log_id != self.id or not 0 <= missing <= len(self._changes):
            return None
        return list(self._changes)[len(self._changes) - missing :]

    def plan(self, version: int) -> ServingPlan | None:
        """Give a configuration that was taken over lately.

        :param version: its version.
        :returns: the configuration; None when it is not known any more.
        """
        plans = (change for change in self._changes if isinstance(change, ServingPlan))
        return next((plan for plan in plans if plan.version == version), None)
