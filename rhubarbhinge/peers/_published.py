"""What this entry tells of the published state."""

from rhubarbhinge.members import PublishedStatus
from rhubarbhinge.published import Follower


def published(follower: Follower) -> PublishedStatus:
    """Tell how far the published state is known.

    :param follower: knows it.
    :returns: what heartbeats carry of it.
    """
    version = 0 if follower.plan is None else follower.plan.version
    return PublishedStatus(follower.revision, follower.age_ms(), version)
