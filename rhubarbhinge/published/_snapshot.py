"""The full published state."""

from collections.abc import Mapping

from msgspec import Struct, field

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.utils.revision import Revision


class Snapshot(Struct, frozen=True):
    """The full published state, as of a revision or later.

    :param revision: changes after it may be missing here.
    :param plan: the serving plan; None when none is published.
    :param searchers: all searchers.
    :param age_ms: time since the platform confirmed this state, if it comes from a peer; -1 when it
        is not known, as for a list that may be stale.
    :param lapsed_ms: those of the searchers that are no longer published, with the time for which
        the sending peer still retains them.
    :param unusable: store entries that cannot be used; peers do not send them.
    :param evacuated: the failure domains that are evacuated; None when it is not known, as in
        states sent by peers of an earlier release.
    """

    revision: Revision
    plan: ServingPlan | None
    searchers: tuple[Searcher, ...]
    age_ms: float = 0.0
    lapsed_ms: Mapping[str, float] = field(default_factory=dict)
    unusable: tuple[UnusableEntry, ...] = ()
    evacuated: tuple[str, ...] | None = None
