"""What an entry exchanges in heartbeats with the entries of its failure domain."""

from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.members import Heartbeat
from rhubarbhinge.peers import HeartbeatExtras


def heartbeat_extras(full_searchers: FullSearchers) -> HeartbeatExtras:
    """Connect parts of an entry to heartbeats.

    :param full_searchers: reports of searchers that refuse many requests.
    :returns: sources and receiver of the data.
    """

    def receive(heartbeat: Heartbeat) -> None:
        full_searchers.receive(heartbeat.full_searchers)

    return HeartbeatExtras(full_searchers=full_searchers.report, on_received=receive)
