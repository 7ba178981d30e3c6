import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tools.bench._arrivals import Stream, arrivals
from tools.bench._counts import sub_queries
from tools.bench._faults import one_of_each, some_of_each
from tools.bench._percentiles import percentile, ratio
from tools.bench._plan import rounds
from tools.bench._table import aligned
from tools.bench.tests.cells import sample

_SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=50)


class PercentileTest(unittest.TestCase):
    def test_nearest_rank(self):
        values = list(range(1, 101))
        random.Random(1).shuffle(values)
        self.assertEqual([percentile(values, share) for share in (0.5, 0.99, 0.999)], [50, 99, 100])

    def test_nothing_to_go_by(self):
        self.assertIsNone(percentile([], 0.5))
        self.assertIsNone(ratio(None, 2.0))
        self.assertIsNone(ratio(1.0, 0.0))


class ArrivalsTest(unittest.TestCase):
    @_SETTINGS
    @given(st.floats(1.0, 200.0), st.integers(0, 2**32))
    def test_the_rate_holds_within_the_time(self, rate_per_s, seed):
        found = arrivals([Stream("a", "c", rate_per_s)], -500.0, 2000.0, random.Random(seed))
        self.assertEqual(len(found), round(2.5 * rate_per_s))
        self.assertTrue(all(-500.0 <= arrival.at_ms < 2000.0 for arrival in found))
        self.assertEqual(found, sorted(found, key=lambda arrival: arrival.at_ms))

    def test_a_seed_gives_the_same_arrivals(self):
        streams = [Stream("a", "c", 30.0), Stream("b", "c", 0.0)]
        first, second = (arrivals(streams, 0.0, 1000.0, random.Random(7)) for _ in range(2))
        self.assertEqual(first, second)
        self.assertEqual({arrival.stream for arrival in first}, {0})


class FaultsTest(unittest.TestCase):
    @_SETTINGS
    @given(st.integers(1, 60), st.integers(2, 3), st.integers(0, 2**32))
    def test_every_shard_loses_one_and_keeps_one(self, count, replicas, seed):
        shards = [
            [f"{turn}-{(place + 3 * turn) % 20}" for turn in range(replicas)]
            for place in range(count)
        ]
        lost = one_of_each(shards, random.Random(seed))
        for holders in shards:
            self.assertTrue(lost.intersection(holders))
            self.assertFalse(lost.issuperset(holders))

    @_SETTINGS
    @given(st.integers(0, 2**32))
    def test_a_share_of_each_system_and_a_holder_left_to_every_shard(self, seed):
        systems = [[f"a{place}" for place in range(40)], [f"b{place}" for place in range(10)]]
        shards = [(f"a{place}", f"a{(place + 7) % 40}") for place in range(40)]
        chosen = some_of_each(systems, shards, 1 / 5, random.Random(seed))
        self.assertEqual([len(chosen.intersection(each)) for each in systems], [8, 2])
        self.assertFalse(any(chosen.issuperset(holders) for holders in shards))


class PlanTest(unittest.TestCase):
    def test_each_repetition_has_all_cells_once(self):
        planned = rounds(["calm", "overload"], ["full", "plain"], True, 2, 2, random.Random(3))
        cells = [(each.repeat, each.variant, name) for each in planned for name in each.scenarios]
        self.assertEqual(len(cells), 8)
        self.assertEqual(len(set(cells)), 8)

    def test_fewer_repetitions_of_what_no_aim_is_about(self):
        names = ["full", "no-open-ahead"]
        planned = rounds(["cold-starts"], names, False, 3, 1, random.Random(3))
        self.assertEqual(sorted(each.variant for each in planned), ["full"] * 3 + names[1:])

    def test_variants_are_measured_where_they_matter(self):
        planned = rounds(["platform-outage"], ["full", "plain"], False, 1, 1, random.Random(3))
        self.assertEqual([each.variant for each in planned], ["full"])


class ReadingTest(unittest.TestCase):
    def test_sub_queries_of_all_classes(self):
        page = (
            'rhubarbhinge_sub_queries_total{class="a",kind="base"} 80\n'
            'rhubarbhinge_sub_queries_total{class="b",kind="base"} 1.5e+03\n'
            'rhubarbhinge_sub_queries_total{class="b",kind="hedge"} 2\n'
            'rhubarbhinge_runs_total{kind="base"} 9\n'
        )
        self.assertEqual(sub_queries(page), {"base": 1580, "hedge": 2})

    def test_an_answer_time_leaves_the_generators_lateness_out(self):
        self.assertEqual(sample(latency_ms=12.0, lag_ms=2.0).answer_ms, 10.0)

    def test_aligned_columns(self):
        self.assertEqual(aligned([("a", "bb"), ("ccc", "d")]), "a    bb\nccc   d")
