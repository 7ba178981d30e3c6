"""Summary of the published state for heartbeats."""

from rhubarbhinge.members import PublishedStatus
from rhubarbhinge.published import Follower


def published_status(follower: Follower) -> PublishedStatus:
    """Summarize the published state of this entry.

    :param follower: follows the published state.
    :returns: the summary that heartbeats carry.
    """
    version = 0 if follower.plan is None else follower.plan.version
    return PublishedStatus(follower.revision, follower.age_ms(), version)
