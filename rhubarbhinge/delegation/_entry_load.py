"""Sub-queries in progress at another entry, as it last reported them."""

from msgspec import Struct

LOAD_HALF_LIFE_MS = 250.0
"""Half-life of a reported number. Most sub-queries end within some 100 ms, and the entry reports
only when it accepts a request of this one."""


class EntryLoad(Struct):
    """Number of sub-queries that an entry reported to be in progress.

    :param sub_queries: the number.
    :param reported_ms: time of the report.
    :param accepted: number of the request whose acceptance contained the report, which does not
        include that request.
    """

    sub_queries: int = 0
    reported_ms: float = 0.0
    accepted: int = 0

    def report(self, accepted: int, sub_queries: int, now_ms: float) -> None:
        """Record a report.

        :param accepted: number of the accepted request.
        :param sub_queries: sub-queries in progress at the entry, without those of the request.
        :param now_ms: the current time.
        """
        self.accepted = accepted
        self.sub_queries = sub_queries
        self.reported_ms = now_ms

    def covers(self, number: int) -> bool:
        """Tell whether the last report includes a request on the same link.

        :param number: the request's number; numbers increase in the order of sending.
        :returns: whether the entry accepted it before it sent the report.
        """
        return number < self.accepted

    def estimate(self, now_ms: float) -> float:
        """Estimate how many of the reported sub-queries are still in progress.

        :param now_ms: the current time.
        :returns: the number, which halves every ``LOAD_HALF_LIFE_MS``.
        """
        if not self.sub_queries:
            return 0.0
        return self.sub_queries * 0.5 ** ((now_ms - self.reported_ms) / LOAD_HALF_LIFE_MS)
