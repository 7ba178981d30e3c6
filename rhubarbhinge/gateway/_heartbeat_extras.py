"""What an entry exchanges in heartbeats with the entries of its failure domain."""

from collections.abc import Callable

from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.gateway._readiness import DomainReadiness
from rhubarbhinge.members import Heartbeat
from rhubarbhinge.peers import HeartbeatExtras


def heartbeat_extras(
    checks: DomainChecks,
    readiness: DomainReadiness,
    has_several_domains: Callable[[], bool],
    full_searchers: FullSearchers,
) -> HeartbeatExtras:
    """Create the sources and the receiver of what heartbeats share within a failure domain.

    Reachability and requests are neither reported nor taken while there is only one failure domain.

    :param checks: checks of failure domains.
    :param readiness: readiness of this entry.
    :param has_several_domains: returns whether there is more than one failure domain.
    :param full_searchers: reports of searchers that refuse many requests.
    :returns: the sources and the receiver.
    """

    def on_received(heartbeat: Heartbeat) -> None:
        full_searchers.receive(heartbeat.full_searchers)
        if has_several_domains():
            readiness.on_heartbeat(heartbeat)
            for failure_domain in heartbeat.unreachable_domains:
                checks.on_report(failure_domain, heartbeat.name)

    return HeartbeatExtras(
        unreachable_domains=lambda: checks.unreachable() if has_several_domains() else (),
        recent_requests=lambda: readiness.requests_to_report() if has_several_domains() else {},
        full_searchers=full_searchers.report,
        on_received=on_received,
    )
