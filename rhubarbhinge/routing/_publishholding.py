"""Effect: publish a searcher's holding report to every entry."""

from dataclasses import dataclass

from rhubarbhinge.wire import HoldingReport


@dataclass(frozen=True, slots=True)
class PublishHolding:
    """Send a holding report to every entry.

    :param report: the report.
    """

    report: HoldingReport
