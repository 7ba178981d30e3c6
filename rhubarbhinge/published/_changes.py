"""What changed since a revision."""

from collections.abc import Mapping

from msgspec import Struct, field

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.plans import ServingPlan
from rhubarbhinge.published._evacuation import Evacuation
from rhubarbhinge.published._unusable_entry import UnusableEntry
from rhubarbhinge.utils.revision import Revision


class Changes(Struct, frozen=True):
    """What changed since a revision, the newest of each thing.

    :param revision: up to which it is told; of another era than the one asked from, the changes
        are not all that lie between.
    :param plan: the configuration, if it changed.
    :param searchers: searchers that came or changed.
    :param removed: incarnations whose entries were removed.
    :param age_ms: time since the platform confirmed this, when a peer tells it.
    :param by_peer: whether a peer told it, which costs the platform no call.
    :param lapsed_ms: which searchers are no longer published, and how long the peer that tells it
        still keeps them; the revision covers their removal, so it is not told again.
    :param unusable: what the platform holds that can't be used; peers tell nothing of it.
    :param evacuations: failure domains that are evacuated, or no longer.
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
