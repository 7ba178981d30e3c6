"""Rate limit for cold searchers."""

from msgspec import Struct


class ColdRule(Struct, frozen=True):
    """Limit on the requests per second sent to a cold searcher by all processes together.

    :param overage: factor applied to the rate that the service configures.
    :param slack: number of requests allowed on top.
    """

    overage: float = 1.0
    slack: float = 0.0

    def max_requests(self, per_s: float) -> int:
        """Compute the limit.

        :param per_s: rate that the service configures.
        :returns: maximum number of requests in any second.
        """
        return int(per_s * self.overage + self.slack)
