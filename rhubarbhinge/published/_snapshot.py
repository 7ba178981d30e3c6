"""All that is published at one time."""

from collections.abc import Mapping

from msgspec import Struct, field

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.utils.revision import Revision


class Snapshot(Struct, frozen=True):
    """All that is published, as of a revision or later.

    :param revision: changes after it may be missing here.
    :param plan: the configuration; None when none is published.
    :param searchers: all searchers.
    :param age_ms: time since the platform confirmed this, when a peer tells it; -1 when it is not
        known, as for a list that may be old.
    :param lapsed_ms: which of the searchers are no longer published, and how long the peer that
        tells it still keeps them.
    :param unusable: what the platform holds that can't be used; peers tell nothing of it.
    :param evacuated: the failure domains that are evacuated; None when it is not told, as by a peer
        of an earlier release.
    """

    revision: Revision
    plan: ServingPlan | None
    searchers: tuple[Searcher, ...]
    age_ms: float = 0.0
    lapsed_ms: Mapping[str, float] = field(default_factory=dict)
    unusable: tuple[UnusableEntry, ...] = ()
    evacuated: tuple[str, ...] | None = None
