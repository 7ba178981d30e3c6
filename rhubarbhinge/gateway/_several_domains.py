"""Whether a deployment has more than one failure domain."""

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
