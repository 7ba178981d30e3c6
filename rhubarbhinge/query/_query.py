"""State of one open query: its parts and their attempts."""

from rhubarbhinge.query._key_range import KeyRange
from rhubarbhinge.query._missing_range import MissingRange
from rhubarbhinge.query._plan import Gap, Plan
from rhubarbhinge.query._relay_target import RelayTarget
from rhubarbhinge.query._search_request import SearchRequest

#: Time of an event that is not scheduled.
NEVER_MS = float("inf")


class Attempt:
    """One sub-query that was sent.

    :ivar upstream_id: the searcher.
    :ivar target: the relay that it was sent to.
    :ivar sent_ms: time of sending.
    :ivar extra: whether it used a token of the budget.
    :ivar overdue: whether its delay has been recorded in the replica scores.
    """

    __slots__ = ("upstream_id", "target", "sent_ms", "extra", "overdue")

    def __init__(self, upstream_id: int, target: RelayTarget, sent_ms: float, extra: bool) -> None:
        self.upstream_id = upstream_id
        self.target = target
        self.sent_ms = sent_ms
        self.extra = extra
        self.overdue = False


class Part:
    """One key range of a query.

    :ivar number: its number within the query.
    :ivar key_range: the range and its replicas.
    :ivar attempts: outstanding attempts by number.
    :ivar tried: searchers that were sent a sub-query.
    :ivar sent: number of attempts sent so far.
    :ivar misdirected: how many of them a relay refused because it did not own the searcher.
    :ivar done: whether the part was answered or given up.
    :ivar missing_reason: why the part has no answer, reported if it is given up.
    :ivar wait_ms: retry delay that the last refusal asked for.
    :ivar retry_at_ms: time from which all replicas may be asked again; 0 when no retry is planned.
    :ivar retry_is_extra_load: whether that retry counts against the budget.
    :ivar retry_has_token: whether that retry may use the budget token of the previous attempt,
        which was not run.
    :ivar owner_waits: how often the part has waited for a relay that owns a replica.
    """

    __slots__ = (
        "number",
        "key_range",
        "attempts",
        "tried",
        "sent",
        "misdirected",
        "done",
        "missing_reason",
        "wait_ms",
        "retry_at_ms",
        "retry_is_extra_load",
        "retry_has_token",
        "owner_waits",
    )

    def __init__(self, number: int, key_range: KeyRange) -> None:
        self.number = number
        self.key_range = key_range
        self.attempts: dict[int, Attempt] = {}
        self.tried: set[int] = set()
        self.sent = 0
        self.misdirected = 0
        self.done = False
        self.missing_reason = "no-replica"
        self.wait_ms = 0
        self.retry_at_ms = 0.0
        self.retry_is_extra_load = True
        self.retry_has_token = False
        self.owner_waits = 0

    def is_waiting(self) -> bool:
        """Return whether a retry is planned and no attempt is outstanding.

        :returns: True while the part waits for its retry.
        """
        return not self.done and not self.attempts and self.retry_at_ms > 0.0


class Query:
    """One open query.

    :ivar call_id: the entry's sequence number.
    :ivar request: the admitted search.
    :ivar started_ms: time at which it started.
    :ivar deadline_ms: time by which it must be answered, on the same clock.
    :ivar next_check_ms: time of its next scheduled check.
    :ivar base: sub-queries that any answer needs; the budget is credited for these only.
    """

    __slots__ = (
        "call_id",
        "request",
        "started_ms",
        "deadline_ms",
        "next_check_ms",
        "plan",
        "parts",
        "open_parts",
        "next_part",
        "hits",
        "covered_records",
        "missing",
        "gone_versions",
        "base",
        "hedges",
        "retries",
        "redirects",
    )

    def __init__(self, call_id: int, request: SearchRequest, now_ms: float) -> None:
        self.call_id = call_id
        self.request = request
        self.started_ms = now_ms
        self.deadline_ms = now_ms + request.deadline_ms
        self.next_check_ms = NEVER_MS
        self.gone_versions: frozenset[int] = frozenset()
        self.next_part = 0
        self.base = 0
        self.hedges = 0
        self.retries = 0
        self.redirects = 0
        self.set_plan(Plan(0, 0, (), ()))

    def set_plan(self, plan: Plan) -> None:
        """Restart the query on a plan.

        Part numbers are not reused, so that late replies to the previous plan match no part.

        :param plan: the plan, with its pinned version.
        """
        self.plan = plan
        self.parts: dict[int, Part] = {}
        self.open_parts = 0
        self.hits: list[dict] = []
        self.covered_records = 0
        self.missing: list[MissingRange] = [_missing_gap(gap, plan) for gap in plan.gaps]

    def add_part(self, key_range: KeyRange) -> Part:
        """Add a part for a key range.

        :param key_range: the range and its replicas.
        :returns: the part.
        """
        part = Part(self.next_part, key_range)
        self.next_part += 1
        self.parts[part.number] = part
        self.open_parts += 1
        return part

    def close_part(self, part: Part) -> None:
        """Mark a part as answered or given up.

        :param part: the part.
        """
        part.done = True
        self.open_parts -= 1

    def mark_missing(self, part: Part) -> None:
        """Give up a part and list its range as missing.

        :param part: the part.
        """
        self.close_part(part)
        key_range = part.key_range
        self.missing.append(
            MissingRange(key_range.lo, key_range.hi, key_range.records, part.missing_reason)
        )

    def next_retry_ms(self) -> float:
        """Return the time of the next planned retry of a part.

        :returns: time in ms, or :data:`NEVER_MS` when no retry is planned.
        """
        waiting = [part.retry_at_ms for part in self.parts.values() if part.is_waiting()]
        return min(waiting, default=NEVER_MS)

    def max_coverage(self) -> float:
        """Return the coverage that is reached if all open parts are answered.

        :returns: between 0 and 1.
        """
        total = self.plan.total_records
        if total == 0:
            return 0.0 if self.missing else 1.0
        return (self.covered_records + self._open_records()) / total

    def coverage(self) -> float:
        """Return the current coverage.

        :returns: between 0 and 1.
        """
        total = self.plan.total_records
        if total == 0:
            return 0.0 if self.missing or self.open_parts else 1.0
        return self.covered_records / total

    def coverage_without(self, part: Part) -> float:
        """Return the coverage that is reached if all open parts except one are answered.

        :param part: the part that is not answered.
        :returns: between 0 and 1.
        """
        records = self.covered_records + self._open_records() - part.key_range.records
        return records / max(1, self.plan.total_records)

    def _open_records(self) -> int:
        return sum(part.key_range.records for part in self.parts.values() if not part.done)


def _missing_gap(gap: Gap, plan: Plan) -> MissingRange:
    records = plan.total_records - plan.reachable_records() if len(plan.gaps) == 1 else None
    return MissingRange(gap.lo, gap.hi, records, "no-replica")
