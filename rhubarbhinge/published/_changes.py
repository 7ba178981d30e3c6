"""Incremental update of the published state."""

from collections.abc import Mapping

from msgspec import Struct, field

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._evacuation import Evacuation
from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.utils.revision import Revision


class Changes(Struct, frozen=True):
    """The changes since a revision, the latest one of each object.

    :param revision: the revision that these changes lead to. If its era differs from that of the
        requested revision, changes between the two may be missing.
    :param plan: the serving plan, if it changed.
    :param searchers: added or changed searchers.
    :param removed: incarnations whose store entries were removed.
    :param age_ms: time since the platform confirmed this state, if it comes from a peer.
    :param by_peer: whether a peer sent it, which costs the platform no call.
    :param lapsed_ms: searchers that are no longer published, with the time for which the sending
        peer still retains them. The revision covers their removal, so it is not reported again.
    :param unusable: store entries that cannot be used; peers do not send them.
    :param evacuations: failure domains whose evacuation started or ended.
    """

    revision: Revision
    plan: ServingPlan | None = None
    searchers: tuple[Searcher, ...] = ()
    removed: tuple[str, ...] = ()
    age_ms: float = 0.0
    by_peer: bool = False
    lapsed_ms: Mapping[str, float] = field(default_factory=dict)
    unusable: tuple[UnusableEntry, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
