"""What the bench asks of each tenant."""

from collections.abc import Mapping
from dataclasses import dataclass

from tools.bench._arrivals import Stream

MOST_SHARE = 0.3
"""Share of the most important class under overload."""

LEAST_CLASS_DEADLINE_MS = 1_500.0
"""Callers' own deadline for the least important class, so that a cell ends soon after its load."""


@dataclass(frozen=True, slots=True)
class Traffic:
    """The load on one tenant.

    :param collections: collections that are searched in equal parts.
    :param most: the most important class.
    :param least: the least important class.
    """

    collections: tuple[str, ...]
    most: str
    least: str

    def mix(self, total_per_s: float) -> tuple[Stream, ...]:
        """Give the kinds of requests of the overload.

        :param total_per_s: requests a second of both classes.
        :returns: the streams.
        """
        most_per_s = MOST_SHARE * total_per_s
        return self.streams(most_per_s, total_per_s - most_per_s)

    def streams(self, most_per_s: float, least_per_s: float = 0.0) -> tuple[Stream, ...]:
        """Give the kinds of requests.

        :param most_per_s: requests a second of the most important class.
        :param least_per_s: requests a second of the least important class.
        :returns: a stream for each class and collection that has a rate.
        """
        share = 1.0 / len(self.collections)
        wanted = (
            (self.most, most_per_s * share, None),
            (self.least, least_per_s * share, LEAST_CLASS_DEADLINE_MS),
        )
        return tuple(
            Stream(class_name, collection, rate_per_s, deadline_ms)
            for class_name, rate_per_s, deadline_ms in wanted
            for collection in self.collections
            if rate_per_s > 0
        )


TRAFFIC: Mapping[str, Traffic] = {
    "kingston": Traffic(("overhauls", "outage-schedules"), "unit-trip", "reporting"),
    "suva": Traffic(("invoices", "ledger-entries"), "payment-check", "audit"),
}
"""The load by tenant."""
