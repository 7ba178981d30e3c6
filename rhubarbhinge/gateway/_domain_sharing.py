"""What entries of a failure domain share about reachability and requests."""

from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.gateway._domain_checks import DomainChecks
from rhubarbhinge.gateway._readiness import DomainReadiness
from rhubarbhinge.members import Heartbeat, Membership
from rhubarbhinge.peers import HeartbeatExtras


def several_domains(
    failure_domain: str, fleet: Fleet, membership: Callable[[], Membership]
) -> Callable[[], bool]:
    """Create a function that tells whether a deployment has more than one failure domain.

    :param failure_domain: this entry's failure domain.
    :param fleet: the searchers.
    :param membership: returns the entries.
    :returns: the function; True once a searcher or an entry of another domain is known.
    """

    def has_several() -> bool:
        if any(domain != failure_domain for domain in membership().table.domains()):
            return True
        return any(one.searcher.failure_domain != failure_domain for one in fleet.all())

    return has_several


def sharing_extras(
    checks: DomainChecks, readiness: DomainReadiness, has_several_domains: Callable[[], bool]
) -> HeartbeatExtras:
    """Create the sources and the receiver of what heartbeats share within a failure domain.

    Nothing is reported, and reports are ignored, while there is only one failure domain.

    :param checks: checks of failure domains.
    :param readiness: readiness of this entry.
    :param has_several_domains: returns whether there is more than one failure domain.
    :returns: the sources and the receiver.
    """

    def on_received(heartbeat: Heartbeat) -> None:
        if has_several_domains():
            readiness.on_heartbeat(heartbeat)
            for failure_domain in heartbeat.unreachable_domains:
                checks.on_report(failure_domain, heartbeat.name)

    return HeartbeatExtras(
        unreachable_domains=lambda: checks.unreachable() if has_several_domains() else (),
        recent_requests=lambda: readiness.requests_to_report() if has_several_domains() else {},
        on_received=on_received,
    )
