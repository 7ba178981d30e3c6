"""The failure domains of a deployment, and the side of a partition that an entry is on."""

from collections.abc import Callable

from rhubarbhinge.fleet import Fleet
from rhubarbhinge.members import Membership


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


def minority_side(
    failure_domain: str, fleet: Fleet, unreachable: Callable[[], tuple[str, ...]]
) -> Callable[[], bool]:
    """Create a function that tells whether an entry is on the smaller side of a partition.

    :param failure_domain: this entry's failure domain.
    :param fleet: the searchers.
    :param unreachable: returns the failure domains that this entry has found unreachable.
    :returns: the function; True while most failure domains, this one included, are unreachable.
    """

    def is_minority() -> bool:
        out_of_reach = unreachable()
        if not out_of_reach:
            return False
        domains = {one.searcher.failure_domain for one in fleet.all()} | {failure_domain}
        return 2 * len(out_of_reach) > len(domains)

    return is_minority
