"""How much a cold searcher may get."""

from msgspec import Struct


class ColdRule(Struct, frozen=True):
    """How much a cold searcher may get in a second, from all processes together.

    :param overage: factor on the rate that its service names.
    :param slack: requests on top.
    """

    overage: float = 1.0
    slack: float = 0.0

    def most_requests(self, per_s: float) -> int:
        """Work out the bound.

        :param per_s: the rate that the service names.
        :returns: most whole requests in any second.
        """
        return int(per_s * self.overage + self.slack)
