"""Rules by which a received state replaces the current one."""

from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.utils.revision import NO_REVISION, Revision


def may_replace(current: Revision, is_confirmed: bool, received: Snapshot) -> bool:
    """Check whether a snapshot may replace the current state.

    An unconfirmed state may be older than its revision says, as it may come from a stale list.

    :param current: the current revision.
    :param is_confirmed: whether the platform, or a peer that read it, has confirmed the current
        state.
    :param received: the snapshot.
    :returns: whether it may.
    """
    if not is_confirmed and received.age_ms >= 0:
        return received.revision.era >= current.era
    is_acceptable = received.age_ms >= 0 or not is_confirmed
    return is_acceptable and received.revision >= current


def is_restore(current: Revision, received: Revision) -> bool:
    """Check whether an accepted state shows that the platform was restored from a backup.

    :param current: the revision before the state was accepted.
    :param received: the revision of the state.
    :returns: whether it does.
    """
    return current != NO_REVISION and (received < current or received.era > current.era)
