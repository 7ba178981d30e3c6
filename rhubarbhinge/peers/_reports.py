"""What other entries told last of the published state."""

from msgspec import Struct

from rhubarbhinge.members import Member, PublishedStatus
from rhubarbhinge.utils.revision import Revision

FRESH_MS = 3_500.0
"""A report is of use for so long; three heartbeats of an entry that sends each second."""


class Report(Struct, frozen=True):
    """What an entry told last of the published state.

    :param member: the entry.
    :param revision: the revision that it knows.
    :param age_ms: how long before that was confirmed; -1 if it never was.
    :param at_ms: when it told this.
    :param plan_version: version of its configuration; 0 when it has none, or did not tell.
    """

    member: Member
    revision: Revision
    age_ms: float
    at_ms: float
    plan_version: int = 0

    def is_ahead_of(self, known: PublishedStatus) -> bool:
        """Tell whether its state holds what is not known here.

        The configuration counts by itself: the platform may have lost a version that some have. A
        state that nobody has confirmed adds nothing to one that was.

        :param known: what is known here.
        :returns: whether it does.
        """
        further = self.revision > known.revision or self.plan_version > known.plan_version
        return further and (self.age_ms >= 0 or known.age_ms < 0)


class Reports:
    """What other entries told last of the published state."""

    def __init__(self) -> None:
        self._by_name: dict[str, Report] = {}

    def add(self, report: Report) -> None:
        """Take a report.

        :param report: the report.
        """
        self._by_name[report.member.name] = report

    def get(self, name: str, now_ms: float) -> Report | None:
        """Give an entry's report.

        :param name: the entry's name.
        :param now_ms: the time.
        :returns: the report, or None if there is no fresh one.
        """
        report = self._by_name.get(name)
        return None if report is None or now_ms - report.at_ms > FRESH_MS else report

    def level(self, known: PublishedStatus, now_ms: float) -> list[Report]:
        """Give the reports of entries that are just as far, and confirmed.

        :param known: what is known here.
        :param now_ms: the time.
        :returns: fresh reports of the same revision.
        """
        return [
            report
            for report in self._by_name.values()
            if report.revision == known.revision
            and report.age_ms >= 0
            and now_ms - report.at_ms <= FRESH_MS
        ]

    def ahead(self, known: PublishedStatus, now_ms: float) -> list[Report]:
        """Give the reports of entries that are further, and forget old ones.

        :param known: what is known here.
        :param now_ms: the time.
        :returns: fresh reports of states that are ahead.
        """
        for name, report in list(self._by_name.items()):
            if now_ms - report.at_ms > FRESH_MS:
                del self._by_name[name]
        return [report for report in self._by_name.values() if report.is_ahead_of(known)]
