"""Tests of range selection by brute force, and of plans from inconsistent announcements."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.query import Catalog, KeyRange, select_ranges
from rhubarbhinge.query.tests import builders
from rhubarbhinge.wire import HoldingReport, UpstreamState

KEYS = builders.KEYS
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=300)
TILE = st.builds(
    KeyRange,
    st.integers(0, 12),
    st.integers(0, 12),
    st.integers(0, 9),
    st.sampled_from(((1,), (1, 2), (1, 2, 3))),
)


def disjoint(ranges):
    ordered = sorted(ranges, key=lambda key_range: key_range.lo)
    return all(left.hi <= right.lo for left, right in itertools.pairwise(ordered))


def most_records(ranges, lo, hi):
    """Compute the result by brute force."""
    inside = [key_range for key_range in ranges if lo <= key_range.lo < key_range.hi <= hi]
    choices = itertools.chain.from_iterable(
        itertools.combinations(inside, size) for size in range(len(inside) + 1)
    )
    return max(
        sum(key_range.records for key_range in choice) for choice in choices if disjoint(choice)
    )


def catalog(held):
    made = Catalog()
    for number, spans in held.items():
        made.on_holdings(builders.holding(number, spans))
    return made


def spans_of(plan):
    return [(key_range.lo, key_range.hi) for key_range in plan.ranges]


class RangeSelectionTest(unittest.TestCase):
    @SETTINGS
    @given(st.lists(TILE, max_size=7), st.integers(0, 4), st.integers(8, 12))
    def test_selection_is_optimal_and_disjoint(self, ranges, lo, hi):
        chosen, gaps = select_ranges(ranges, lo, hi)
        self.assertEqual(
            most_records(ranges, lo, hi), sum(key_range.records for key_range in chosen)
        )
        spans = sorted([(each.lo, each.hi) for each in chosen + gaps])
        self.assertEqual([lo, *(span[1] for span in spans)], [*(span[0] for span in spans), hi])
        self.assertTrue(set(chosen) <= set(ranges))


class CatalogTest(unittest.TestCase):
    def test_overlapping_ranges_of_a_split_count_once(self):
        halves = [(1, 0, KEYS // 2), (1, KEYS // 2, KEYS)]
        plan = catalog({1: [(1, 0, KEYS)], 2: halves[:1], 3: halves[1:]}).plan(builders.COLLECTION)
        self.assertEqual(plan.total_records, plan.reachable_records())
        self.assertEqual([], list(plan.gaps))
        self.assertEqual([(1, 2), (1, 3)], [key_range.upstream_ids for key_range in plan.ranges])

    def test_searcher_of_a_wider_range_covers_a_gap_of_narrower_ones(self):
        held = {1: [(1, 0, KEYS)], 2: [(1, 0, KEYS // 2)]}
        self.assertEqual([(0, KEYS)], spans_of(catalog(held).plan(builders.COLLECTION)))

    def test_version_with_the_best_coverage_is_selected_and_the_newest_of_equals(self):
        whole, half = (0, KEYS), (0, KEYS // 2)
        for held, version in (
            ({1: [(1, *whole)], 2: [(2, *half)]}, 1),
            ({1: [(1, *whole)], 2: [(2, *whole)]}, 2),
        ):
            with self.subTest(version):
                made = catalog(held)
                self.assertEqual(version, made.plan(builders.COLLECTION).version)
                other = made.plan(builders.COLLECTION, frozenset({version}))
                self.assertEqual(3 - version, other.version)

    def test_draining_down_and_removed_searchers_leave_the_plan(self):
        made = catalog({1: [(1, 0, KEYS)], 2: [(1, 0, KEYS)]})
        for leave, left in (
            (lambda: made.on_state(1, UpstreamState.DRAINING), [(2,)]),
            (lambda: made.on_state(1, UpstreamState.READY), [(1, 2)]),
            (lambda: made.on_state(2, UpstreamState.DOWN), [(1,)]),
            (lambda: made.remove([1]), []),
        ):
            leave()
            ranges = made.plan(builders.COLLECTION).ranges
            self.assertEqual(left, [key_range.upstream_ids for key_range in ranges])

    def test_drain_persists_at_a_relay_without_contact_to_the_searcher(self):
        """Guards against new work for a draining searcher whose relay has changed."""
        catalog = Catalog()
        catalog.on_holdings(builders.holding(1, [(1, 0, KEYS)]))
        for state in (UpstreamState.DRAINING, UpstreamState.UNKNOWN, UpstreamState.DOWN):
            catalog.on_state(1, state)
        catalog.on_state(1, UpstreamState.UNKNOWN)
        self.assertFalse(catalog.is_usable(1))
        self.assertEqual((), catalog.plan(builders.COLLECTION).ranges)
        catalog.on_state(1, UpstreamState.READY)
        self.assertTrue(catalog.is_usable(1))
        self.assertEqual(1, len(catalog.plan(builders.COLLECTION).ranges))

    def test_newer_incarnation_ends_a_drain(self):
        catalog = Catalog()
        catalog.on_holdings(builders.holding(1, [(1, 0, KEYS)]))
        catalog.on_state(1, UpstreamState.DRAINING)
        catalog.on_holdings(builders.holding(1, [(1, 0, KEYS)], incarnation=2))
        catalog.on_state(1, UpstreamState.UNKNOWN)
        self.assertTrue(catalog.is_usable(1))

    def test_announcement_of_an_older_incarnation_is_ignored(self):
        made = Catalog()
        made.on_holdings(builders.holding(1, [(1, 0, KEYS)], incarnation=2))
        made.on_holdings(builders.holding(1, [], incarnation=1))
        self.assertEqual([(0, KEYS)], spans_of(made.plan(builders.COLLECTION)))

    def test_false_announcements_never_overstate_coverage(self):
        for rows in (
            [(0, KEYS, 100, 100), (5, 5, 3, 100), (9, 4, 3, 100), (0, 2 * KEYS, 9, 100)],
            [(0, KEYS, 100, 7)],
            [(0, KEYS // 2, 60, 100), (KEYS // 2, KEYS, 60, 100)],
        ):
            with self.subTest(rows):
                los, his, counts, totals = zip(*rows, strict=True)
                names, versions = (builders.COLLECTION,) * len(rows), (1,) * len(rows)
                made = Catalog()
                made.on_holdings(HoldingReport(1, 1, names, versions, totals, los, his, counts))
                plan = made.plan(builders.COLLECTION)
                self.assertLessEqual(plan.reachable_records(), plan.total_records)
                self.assertEqual((0, KEYS), (plan.ranges[0].lo, plan.ranges[-1].hi))

    def test_one_false_announcement_among_three_changes_nothing(self):
        true, total = builders.count(1, 0, KEYS // 2), builders.count(1, 0, KEYS)
        for false_count, false_total in ((5, total), (true * 2, total), (true, 7), (true, 10**9)):
            with self.subTest(count=false_count, total=false_total):
                made = catalog({1: [(1, 0, KEYS // 2)], 2: [(1, 0, KEYS // 2)]})
                row = (builders.COLLECTION, 1, false_total, 0, KEYS // 2, false_count)
                made.on_holdings(HoldingReport(3, 1, *((field,) for field in row)))
                plan = made.plan(builders.COLLECTION)
                self.assertEqual((true, total), (plan.ranges[0].records, plan.total_records))


if __name__ == "__main__":
    unittest.main()
