"""Start or end of the evacuation of a failure domain."""

from msgspec import Struct

from rhubarbhinge.utils.bounded_types import Name


class Evacuation(Struct, frozen=True):
    """Start or end of the evacuation of a failure domain, whose searchers then get no requests.

    :param failure_domain: the domain.
    :param begins: True when the evacuation starts, False when it ends.
    """

    failure_domain: Name
    begins: bool
