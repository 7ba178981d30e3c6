"""Catalog of the searchers' announced index versions, key ranges and states."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from rhubarbhinge.query._key_range import KeyRange
from rhubarbhinge.query._plan import Gap, Plan
from rhubarbhinge.query._range_selection import select_ranges
from rhubarbhinge.wire import HoldingReport, UpstreamState

#: The key space of every collection (docs/architecture.md).
FIRST_KEY = 0
LAST_KEY = 65_536

_Span = tuple[int, int]
_Snapshot = tuple[str, int]
_REACHABLE_STATES = frozenset({UpstreamState.READY, UpstreamState.WARMING})
_USABLE_STATES = _REACHABLE_STATES | {UpstreamState.UNKNOWN}


class Catalog:
    """Announcements and states of all searchers, and query plans made from them."""

    def __init__(self) -> None:
        self._report_by_upstream: dict[int, HoldingReport] = {}
        self._state_by_upstream: dict[int, UpstreamState] = {}
        self._draining: set[int] = set()
        self._holders: dict[str, dict[int, dict[_Span, set[int]]]] = {}
        self._records: dict[_Snapshot, dict[_Span, int]] = {}
        self._totals: dict[_Snapshot, int] = {}
        self._plans: dict[tuple[str, frozenset[int]], Plan] = {}
        self._stale = False

    def on_holdings(self, report: HoldingReport) -> None:
        """Handle a searcher's announcement; one of an older incarnation is ignored.

        :param report: all key ranges that the searcher holds.
        """
        known = self._report_by_upstream.get(report.upstream_id)
        if known is not None and report.incarnation < known.incarnation:
            return
        if known is not None and report.incarnation > known.incarnation:
            self._draining.discard(report.upstream_id)
        self._report_by_upstream[report.upstream_id] = report
        self._stale = True

    def on_state(self, upstream_id: int, state: UpstreamState) -> None:
        """Handle a change of a searcher's state.

        A drain lasts until the searcher is reported ready or warming, or announces a newer
        incarnation, as a relay that has just become its owner may not know of the drain yet.

        :param upstream_id: the searcher.
        :param state: its state, as reported by its relay.
        """
        was_usable = self.is_usable(upstream_id)
        self._state_by_upstream[upstream_id] = state
        if state is UpstreamState.DRAINING:
            self._draining.add(upstream_id)
        elif state in _REACHABLE_STATES:
            self._draining.discard(upstream_id)
        if self.is_usable(upstream_id) != was_usable:
            self._plans.clear()

    def remove(self, upstream_ids: Iterable[int]) -> None:
        """Remove searchers that are no longer in the register.

        :param upstream_ids: the searchers.
        """
        for upstream_id in upstream_ids:
            self._report_by_upstream.pop(upstream_id, None)
            self._state_by_upstream.pop(upstream_id, None)
            self._draining.discard(upstream_id)
        self._stale = True

    def announced(self) -> frozenset[int]:
        """Return the searchers that have announced key ranges.

        :returns: their numbers.
        """
        return frozenset(self._report_by_upstream)

    def is_usable(self, upstream_id: int) -> bool:
        """Return whether a searcher accepts new work, as far as is known.

        :param upstream_id: the searcher.
        :returns: False when it is draining or down.
        """
        return upstream_id not in self._draining and self.state(upstream_id) in _USABLE_STATES

    def state(self, upstream_id: int) -> UpstreamState:
        """Return a searcher's state.

        :param upstream_id: the searcher.
        :returns: the state that its relay reported last.
        """
        return self._state_by_upstream.get(upstream_id, UpstreamState.UNKNOWN)

    def versions(self, collection: str) -> tuple[int, ...]:
        """Return the announced index versions of a collection.

        :param collection: its name.
        :returns: the versions, newest first.
        """
        self._refresh()
        return tuple(sorted(self._holders.get(collection, ()), reverse=True))

    def plan(self, collection: str, excluded: frozenset[int] = frozenset()) -> Plan:
        """Return a query plan: a pinned index version and disjoint ranges of it.

        The version whose ranges contain the largest fraction of its records is selected, the
        newest in case of a tie.

        :param collection: its name.
        :param excluded: versions that are no longer available.
        :returns: the plan; without ranges when nothing is announced.
        """
        self._refresh()
        key = (collection, excluded)
        plan = self._plans.get(key)
        if plan is None:
            plan = self._plans[key] = self._make_plan(collection, excluded)
        return plan

    def holders(self, collection: str, version: int, lo: int, hi: int) -> tuple[int, ...]:
        """Return the searchers that announce a whole range, whether they are usable or not.

        :param collection: its name.
        :param version: the index version.
        :param lo: first key.
        :param hi: end of the range, exclusive.
        :returns: their numbers, in ascending order.
        """
        self._refresh()
        holders = self._holders.get(collection, {}).get(version, {})
        found = {number for span in holders for number in holders[span] if _covers(span, lo, hi)}
        return tuple(sorted(found))

    def split_range(self, collection: str, version: int, lo: int, hi: int) -> tuple[KeyRange, ...]:
        """Split a range by the current announcements, after its shard has moved.

        :param collection: its name.
        :param version: the pinned version.
        :param lo: first key.
        :param hi: end of the range, exclusive.
        :returns: disjoint ranges within the range.
        """
        self._refresh()
        return select_ranges(self._announced(collection, version), lo, hi)[0]

    def _make_plan(self, collection: str, excluded: frozenset[int]) -> Plan:
        best = Plan(0, 0, (), (Gap(FIRST_KEY, LAST_KEY),))
        best_share = -1.0
        for version in self.versions(collection):
            if version in excluded:
                continue
            plan = self._plan_for_version(collection, version)
            share = plan.reachable_share()
            if share > best_share:
                best = plan
                best_share = share
        return best

    def _plan_for_version(self, collection: str, version: int) -> Plan:
        ranges, gaps = select_ranges(self._announced(collection, version), FIRST_KEY, LAST_KEY)
        reachable = sum(key_range.records for key_range in ranges)
        total = max(self._totals[collection, version], reachable)
        return Plan(version, total, ranges, gaps)

    def _announced(self, collection: str, version: int) -> list[KeyRange]:
        holders = self._holders.get(collection, {}).get(version, {})
        records = self._records.get((collection, version), {})
        ranges = []
        for span, holder_ids in holders.items():
            usable = [upstream_id for upstream_id in holder_ids if self.is_usable(upstream_id)]
            wider = self._wider_holders(holders, span)
            usable += [upstream_id for upstream_id in wider if self.is_usable(upstream_id)]
            if usable:
                ranges.append(KeyRange(*span, records[span], tuple(sorted(set(usable)))))
        return ranges

    @staticmethod
    def _wider_holders(holders: dict[_Span, set[int]], span: _Span) -> list[int]:
        lo, hi = span
        found = []
        for other, upstream_ids in holders.items():
            if other != span and other[0] <= lo and hi <= other[1]:
                found.extend(upstream_ids)
        return found

    def _refresh(self) -> None:
        if self._stale:
            self._stale = False
            self._rebuild()

    def _rebuild(self) -> None:
        self._plans.clear()
        self._holders = {}
        counts: dict[_Snapshot, dict[_Span, Counter[int]]] = defaultdict(_new_counters)
        totals: dict[_Snapshot, Counter[int]] = defaultdict(Counter)
        for report in self._report_by_upstream.values():
            self._count_ranges(report, counts)
            for snapshot, total in _totals_of(report).items():
                totals[snapshot][total] += 1
        self._records = {snapshot: _majority_counts(spans) for snapshot, spans in counts.items()}
        self._totals = {snapshot: _majority_total(votes) for snapshot, votes in totals.items()}

    def _count_ranges(
        self, report: HoldingReport, counts: dict[_Snapshot, dict[_Span, Counter[int]]]
    ) -> None:
        rows = zip(
            report.collections,
            report.versions,
            report.los,
            report.his,
            report.records,
            strict=True,
        )
        for collection, version, lo, hi, count in rows:
            by_range = self._holders.setdefault(collection, {}).setdefault(version, {})
            by_range.setdefault((lo, hi), set()).add(report.upstream_id)
            counts[collection, version][lo, hi][count] += 1


def _covers(span: _Span, lo: int, hi: int) -> bool:
    return span[0] <= lo and hi <= span[1]


def _new_counters() -> dict[_Span, Counter[int]]:
    return defaultdict(Counter)


def _totals_of(report: HoldingReport) -> dict[_Snapshot, int]:
    snapshots = zip(report.collections, report.versions, strict=True)
    return dict(zip(snapshots, report.total_records, strict=True))


def _majority_counts(spans: dict[_Span, Counter[int]]) -> dict[_Span, int]:
    return {span: _majority_count(votes) for span, votes in spans.items()}


def _majority_count(votes: Counter[int]) -> int:
    """Return the most frequent count, the lowest in case of a tie, to not overstate coverage."""
    return max(votes, key=lambda count: (votes[count], -count))


def _majority_total(votes: Counter[int]) -> int:
    """Return the most frequent total, the highest in case of a tie, to not overstate coverage."""
    return max(votes, key=lambda total: (votes[total], total))
