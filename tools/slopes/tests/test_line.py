"""Lines through points, and series written and read back."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tools.slopes._line import fit
from tools.slopes._series import Series, from_document, measure

PROFILE = settings(derandomize=True, deadline=None, database=None, max_examples=50)


class LineTest(unittest.TestCase):
    @PROFILE
    @given(st.integers(-100, 100), st.integers(-100, 100))
    def test_points_on_a_line_give_it_back(self, slope, at_zero):
        line = fit({size: [at_zero + slope * size] for size in (1, 10, 50)})
        self.assertAlmostEqual(line.slope, slope)
        self.assertAlmostEqual(line.at(200), at_zero + slope * 200, places=6)

    def test_repeats_give_the_spread(self):
        line = fit({0: [0, 0, 0], 10: [10, 20, 60]})
        self.assertEqual((line.slope_low, line.slope, line.slope_high), (1, 2, 6))

    def test_one_size_or_unequal_repeats_are_refused(self):
        with self.assertRaises(ValueError):
            fit({1: [2, 3]})
        with self.assertRaises(ValueError):
            fit({1: [2, 3], 2: [4]})

    def test_sizes_take_turns_and_a_document_keeps_the_series(self):
        seen = []
        series = measure("cost", "rows", "us", (1, 5), lambda size: seen.append(size) or size, 2)
        self.assertEqual(seen, [1, 5, 1, 5])
        self.assertEqual(from_document(series.document()), series)
        self.assertNotIn("slope", Series("cost", "rows", "us", {3: [1.0]}).document())


if __name__ == "__main__":
    unittest.main()
