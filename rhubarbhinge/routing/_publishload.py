"""Effect: publish the searchers' load to every entry."""

from dataclasses import dataclass

from rhubarbhinge.wire import UpstreamReport


@dataclass(frozen=True, slots=True)
class PublishLoad:
    """Send a load report to every entry.

    :param report: the report.
    """

    report: UpstreamReport
