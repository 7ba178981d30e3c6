"""Latest reports of other entries on the published state."""

from msgspec import Struct

from rhubarbhinge.members import Member, PublishedStatus
from rhubarbhinge.utils.revision import Revision

MAX_REPORT_AGE_MS = 3_500.0
"""Age up to which a report is used; three heartbeats of an entry that sends one each second."""


class PeerReport(Struct, frozen=True):
    """An entry's report on the published state that it knows.

    :param member: the entry.
    :param revision: its revision.
    :param age_ms: time since that was confirmed; -1 if it never was.
    :param received_ms: when the report was received.
    :param plan_version: version of its serving plan; 0 if it has none, or did not report it.
    """

    member: Member
    revision: Revision
    age_ms: float
    received_ms: float
    plan_version: int = 0

    def is_ahead_of(self, known: PublishedStatus) -> bool:
        """Check whether the entry's state holds something that this entry lacks.

        The serving plan counts by itself, as the platform may have lost a version that some entries
        have. An unconfirmed state adds nothing to a confirmed one.

        :param known: the state of this entry.
        :returns: whether it does.
        """
        is_newer = self.revision > known.revision or self.plan_version > known.plan_version
        return is_newer and (self.age_ms >= 0 or known.age_ms < 0)


class PeerReports:
    """The latest report of each other entry on the published state."""

    def __init__(self) -> None:
        self._by_name: dict[str, PeerReport] = {}

    def add(self, report: PeerReport) -> None:
        """Add a report.

        :param report: the report.
        """
        self._by_name[report.member.name] = report

    def get(self, name: str, now_ms: float) -> PeerReport | None:
        """Return the report of an entry.

        :param name: the entry's name.
        :param now_ms: the current time.
        :returns: the report, or None if there is no recent one.
        """
        report = self._by_name.get(name)
        return None if report is None or now_ms - report.received_ms > MAX_REPORT_AGE_MS else report

    def equal_to(self, known: PublishedStatus, now_ms: float) -> list[PeerReport]:
        """Return the reports of entries with a confirmed state of the same revision.

        :param known: the state of this entry.
        :param now_ms: the current time.
        :returns: recent reports of the same revision.
        """
        return [
            report
            for report in self._by_name.values()
            if report.revision == known.revision
            and report.age_ms >= 0
            and now_ms - report.received_ms <= MAX_REPORT_AGE_MS
        ]

    def ahead_of(self, known: PublishedStatus, now_ms: float) -> list[PeerReport]:
        """Return the reports of entries whose state is ahead, and discard outdated reports.

        :param known: the state of this entry.
        :param now_ms: the current time.
        :returns: recent reports of states that are ahead.
        """
        for name, report in list(self._by_name.items()):
            if now_ms - report.received_ms > MAX_REPORT_AGE_MS:
                del self._by_name[name]
        return [report for report in self._by_name.values() if report.is_ahead_of(known)]
