"""All that is published at one time."""

from dataclasses import dataclass

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that is published, as of a revision or later.

    :param revision: changes after it may be missing here.
    :param plan: the configuration; None when none is published.
    :param searchers: all searchers.
    :param age_ms: time since the platform confirmed this, when a peer tells it.
    """

    revision: int
    plan: ServingPlan | None
    searchers: tuple[Searcher, ...]
    age_ms: float = 0.0
