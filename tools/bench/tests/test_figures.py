import unittest

from tools.bench._aims import MET, MISSED, NOT_RUN, verdicts
from tools.bench._capacity import completions_per_s
from tools.bench._figures import ClassRule, figures
from tools.bench.tests.cells import cell, refusal, sample

RULES = {"trip": ClassRule(230.0, 0.9), "report": ClassRule(3000.0, 0.98)}


def _figures(*cells):
    return figures(cells, RULES, "trip")


class FiguresTest(unittest.TestCase):
    def test_latency_is_that_of_admitted_requests_of_the_most_important_class(self):
        found = _figures(
            cell(
                sample(latency_ms=20.0),
                refusal(latency_ms=1.0),
                sample(class_name="report", latency_ms=900.0),
            )
        )
        self.assertEqual((found.p50_ms, found.p99_ms), (20.0, 20.0))
        self.assertEqual((found.requests, found.refusals, found.refusal_p50_ms), (3, 1, 1.0))

    def test_what_fell_short_counts_with_its_time_and_coverage(self):
        short = sample(status=503, code="coverage-too-low", coverage=0.5, latency_ms=230.0)
        lost = sample(status=0, code="timeout", coverage=0.0, latency_ms=5000.0)
        found = _figures(cell(sample(), short, lost))
        self.assertEqual((found.short, found.p99_ms), (2, 5000.0))
        self.assertEqual((found.coverage, found.least_coverage), (0.5, 0.0))

    def test_goodput_wants_coverage_and_time(self):
        late = sample(latency_ms=231.0)
        thin = sample(coverage=0.89)
        found = _figures(cell(sample(), late, thin), cell(sample(class_name="report")))
        self.assertEqual(found.goodput_per_s, {"trip": 0.25, "report": 0.25})

    def test_extra_load_as_sent_and_as_seen(self):
        found = _figures(cell(sample()), cell(sample()))
        self.assertAlmostEqual(found.extra_load, 0.05)
        self.assertAlmostEqual(found.seen_load, 0.04)

    def test_completions_are_counted_while_the_load_is_on(self):
        times_ms = (100.0, 700.0, 1999.0, 2001.0)
        found = cell(*(sample(class_name="report", latency_ms=ms) for ms in times_ms))
        self.assertAlmostEqual(completions_per_s(found, RULES), 2 / (4 / 3))


class AimsTest(unittest.TestCase):
    def setUp(self):
        slow = _figures(cell(sample(latency_ms=100.0)))
        fast = _figures(cell(sample(latency_ms=30.0)))
        self.measured = {
            ("straggler", "full"): fast,
            ("straggler", "no-hedging"): slow,
            ("calm", "full"): fast,
            ("overload", "full"): _figures(cell(sample(), refusal(latency_ms=12.0))),
            ("uncontended", "full"): _figures(cell(sample())),
        }

    def _words(self, tenant):
        def of(scenario, variant):
            return self.measured.get((scenario, variant))

        return [verdict.word for verdict in verdicts(tenant, "trip", of, [of])]

    def test_verdicts(self):
        expected = [MET, NOT_RUN, MET, MET, MET, MISSED, MET]
        self.assertEqual(self._words("kingston"), expected)
        self.assertEqual(self._words("suva"), [*expected, NOT_RUN])

    def test_extra_load_above_its_bound(self):
        more = {"searches": 107.0, "base": 100.0, "hedge": 4.0, "retry": 0.0}
        loaded = cell(sample())
        self.measured["straggler", "full"] = _figures(
            type(loaded)(loaded.key, 2.0, loaded.samples, more, loaded.uses)
        )
        self.assertEqual(self._words("kingston")[2], MISSED)


if __name__ == "__main__":
    unittest.main()
