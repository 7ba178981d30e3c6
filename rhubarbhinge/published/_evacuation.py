"""A failure domain that is evacuated, or no longer."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Name


class Evacuation(Struct, frozen=True):
    """A change of whether the searchers of a failure domain may get requests.

    :param failure_domain: the domain.
    :param begins: whether they may not from now on; else they may again.
    """

    failure_domain: Name
    begins: bool
