"""What other parts of an entry exchange with the entries of its failure domain in heartbeats."""

from collections.abc import Callable, Mapping

from msgspec import Struct
from msgspec.structs import replace

from rhubarbhinge.members import FullSearcher, Heartbeat


def _ignore(heartbeat: Heartbeat) -> None:
    pass


class HeartbeatExtras(Struct, frozen=True):
    """Sources and receiver of the data that heartbeats carry for other parts of an entry.

    Heartbeats to other failure domains do not carry it, as traffic between them is expensive.

    :param unreachable_domains: returns the failure domains that this entry found unreachable.
    :param recent_requests: returns the number of recent requests of this entry's callers by route.
    :param full_searchers: returns the searchers that refuse many of this entry's requests.
    :param on_received: called with each heartbeat of another entry of the same failure domain.
    """

    unreachable_domains: Callable[[], tuple[str, ...]] = tuple
    recent_requests: Callable[[], Mapping[str, int]] = dict
    full_searchers: Callable[[], tuple[FullSearcher, ...]] = tuple
    on_received: Callable[[Heartbeat], None] = _ignore

    def add_to(self, heartbeat: Heartbeat) -> Heartbeat:
        """Add the current data to a heartbeat.

        :param heartbeat: a heartbeat to an entry of the same failure domain.
        :returns: the heartbeat with the data.
        """
        return replace(
            heartbeat,
            unreachable_domains=self.unreachable_domains(),
            recent_requests=self.recent_requests(),
            full_searchers=self.full_searchers(),
        )


NO_EXTRAS = HeartbeatExtras()
"""Sends nothing besides the heartbeat, and ignores what others send."""
