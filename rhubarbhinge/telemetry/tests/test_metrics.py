"""Tests of metrics and their rendering."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.telemetry import RELATIVE_ERROR, LogHistogram, Metrics, SubQueryKind
from rhubarbhinge.telemetry._metrics import MAX_SERIES

FLOAT_ERROR = 1e-9


class LogHistogramTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(st.floats(0.1, 90_000), min_size=1), st.sampled_from([0.0, 0.5, 0.99, 1.0]))
    def test_quantile_is_within_the_relative_error(self, values, fraction):
        histogram = LogHistogram()
        for value in values:
            histogram.observe(value)
        ranked = sorted(values)
        index = max(0, -int(-fraction * len(values) // 1) - 1)
        expected = ranked[index]
        bound = expected * (RELATIVE_ERROR + FLOAT_ERROR)
        self.assertAlmostEqual(expected, histogram.quantile(fraction), delta=bound)

    def test_values_outside_the_bounds(self):
        histogram = LogHistogram()
        self.assertIsNone(histogram.quantile(0.5))
        for value in (-1.0, 0.0, 1e9, float("inf")):
            histogram.observe(value)
        self.assertEqual(4, histogram.count)
        self.assertEqual(float("inf"), histogram.quantile(1.0))


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()

    def lines(self) -> list[str]:
        return self.metrics.render().decode().splitlines()

    def test_latency_buckets_are_cumulative(self):
        for latency_ms in (0.05, 1.0, 83.0, 83.0, 1e7):
            self.metrics.observe_latency("kingston", "unit-trip", latency_ms)
        head = "rhubarbhinge_query_latency_ms"
        found = [line for line in self.lines() if line.startswith(head + "_bucket")]
        counts = [float(line.split()[-1]) for line in found]
        self.assertEqual(sorted(counts), counts)
        self.assertEqual((1, 5), (counts[0], counts[-1]))
        labels = 'class="unit-trip",tenant="kingston"'
        self.assertIn(f"{head}_count{{{labels}}} 5.0", self.lines())

    def test_coverage_separates_complete_answers(self):
        for coverage in (1.0, 1.0, 0.9995):
            self.metrics.observe_coverage("suva", "payment", coverage)
        partial = [line for line in self.lines() if 'le="0.999999"' in line]
        complete = [line for line in self.lines() if 'le="1.0"' in line and "coverage" in line]
        self.assertTrue(partial[0].endswith(" 1.0"))
        self.assertTrue(complete[0].endswith(" 3.0"))

    def test_counters_and_gauges(self):
        self.metrics.count_sub_queries("planning", SubQueryKind.BASE, 100)
        self.metrics.count_sub_queries("planning", SubQueryKind.HEDGE, 3)
        self.metrics.count_sub_queries("planning", SubQueryKind.RETRY)
        self.metrics.count_refusal("shed", 12.0)
        self.metrics.count_run("unknown")
        self.metrics.set_config("rules", 7, 12.5)
        self.metrics.set_members({"live": 6})
        self.metrics.set_drains(2)
        self.metrics.set_slots("outage-search-desk", 3, 80)
        self.metrics.set_queue_length("planning", 4)
        expected = [
            'sub_queries_total{class="planning",kind="hedge"} 3',
            'refusals_total{code="shed"} 1',
            'refusal_ms_count{code="shed"} 1.0',
            'runs_total{outcome="unknown"} 1',
            'config_revision{key="rules"} 7',
            'config_age_ms{key="rules"} 12.5',
            'members{state="live"} 6',
            "drains 2",
            'slots_in_use{system="outage-search-desk"} 3',
            'slots{system="outage-search-desk"} 80',
            'queue_length{class="planning"} 4',
        ]
        for line in expected:
            self.assertIn("rhubarbhinge_" + line, self.lines())
        self.assertEqual(0.04, self.metrics.summary()["extra_load"])

    def test_labels_are_escaped(self):
        self.metrics.count_refusal('a"b\\c\nd')
        self.assertIn('rhubarbhinge_refusals_total{code="a\\"b\\\\c\\nd"} 1', self.lines())

    def test_number_of_series_is_limited(self):
        for number in range(MAX_SERIES + 5):
            self.metrics.observe_latency("t", f"c{number}", 1.0)
            self.metrics.count_refusal(f"r{number}")
        summary = self.metrics.summary()
        self.assertEqual(5, summary["latency"]["other"]["count"])
        self.assertEqual(5, summary["refusals"]["other"])

    def test_summary_merges_workspaces_of_a_class(self):
        self.metrics.observe_latency("kingston", "planning", 10.0)
        self.metrics.observe_latency("suva", "planning", 1_000.0)
        found = self.metrics.summary()["latency"]["planning"]
        self.assertEqual((2, 1_000.0), (found["count"], found["most_ms"]))
        self.assertAlmostEqual(10.0, found["p50_ms"], delta=0.5)
