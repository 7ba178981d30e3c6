"""Which state replaces another one."""

from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.utils.revision import NO_REVISION, Revision


def may_replace(known: Revision, is_confirmed: bool, told: Snapshot) -> bool:
    """Tell whether all that is known may be replaced by a state.

    What nobody has confirmed may be older than its revision says: a list that may be old.

    :param known: the revision that is known.
    :param is_confirmed: whether the platform, or who has read it, has confirmed what is known.
    :param told: the state.
    :returns: whether it may.
    """
    if not is_confirmed and told.age_ms >= 0:
        return told.revision.era >= known.era
    confirms = told.age_ms >= 0 or not is_confirmed
    return confirms and told.revision >= known


def is_restored(known: Revision, told: Revision) -> bool:
    """Tell whether a state that is taken goes back to a copy of the platform.

    :param known: the revision that was known before.
    :param told: the revision of the state.
    :returns: whether it does.
    """
    return known != NO_REVISION and (told < known or told.era > known.era)
