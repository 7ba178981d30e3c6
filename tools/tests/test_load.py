"""The load tool."""

import unittest

from tools.load._faults import FAULTS
from tools.load._generator import arrivals
from tools.load._report import rows
from tools.load._revisions import ROOT
from tools.load._sample import Sample
from tools.load._site import KINGSTON, SITES
from tools.load._trial import Trial, play


class LoadTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_arrivals_at_the_rates_asked_for(self):
        first = arrivals(KINGSTON.classes, 100.0, 1.0, 7)
        self.assertEqual(first, arrivals(KINGSTON.classes, 100.0, 1.0, 7))
        self.assertNotEqual(first, arrivals(KINGSTON.classes, 100.0, 1.0, 8))
        sweeps = sum(each.name == "sweep" for _, each in first)
        self.assertAlmostEqual(sweeps, 3_380, delta=250)

    def test_answers_are_told_apart_by_objective_and_status(self):
        samples = [
            Sample("lookup", 50.0, 200, 0),
            Sample("lookup", 50.0, 200, 2),
            Sample("lookup", 500.0, 200, 0),
            Sample("lookup", 10.0, 503, 0),
            Sample("lookup", 1_200.0, 0, 0),
        ]
        lookup = rows("t", KINGSTON, samples)[1]
        counts = (lookup.asked, lookup.in_time, lookup.late, lookup.thin, lookup.delays.count)
        self.assertEqual(counts, (5, 2, 1, 1, 3))

    def test_sites_publish_what_entries_can_use(self):
        for site in SITES.values():
            names = {route["name"] for route in site.published()["routes"]}
            self.assertEqual(names, {each.name for each in site.classes})

    def test_each_fault_leaves_most_requests_served(self):
        for fault in FAULTS:
            with self.subTest(fault):
                samples = play(Trial(SITES["suva"], fault, 1.5, 0.25, 3, ROOT))
                served = sum(sample.ok for sample in samples)
                self.assertGreater(len(samples), 5)
                self.assertGreater(served, 0.5 * len(samples))
