"""The page's recorded figures give every line of the target."""

import math
import unittest
from pathlib import Path

from tools.slopes.__main__ import read_series
from tools.slopes._capacity import capacity_lines

RECORDED = Path(__file__).parents[3] / "docs" / "capacity-figures.jsonl"


class CapacityTest(unittest.TestCase):
    def setUp(self):
        self.found = read_series(RECORDED)
        self.lines = list(capacity_lines(self.found))

    def test_each_line_has_its_own_name_and_a_positive_value(self):
        names = [line.name for line in self.lines]
        self.assertEqual(len(names), len(set(names)))
        for line in self.lines:
            self.assertTrue(math.isfinite(line.value) and line.value > 0, line)

    def test_lines_follow_from_the_series(self):
        value = {line.name: line.value for line in self.lines}
        length = self.found["register, length"].line()
        self.assertAlmostEqual(value["register"], (length.at_zero + 45_000 * length.slope) / 1e6)
        whole_us = self.found["whole path by callers, entry"].median(6)
        rate_per_s = 1.4e6 * 150 / 3_950
        self.assertAlmostEqual(value["entry, whole path as measured"], rate_per_s * whole_us / 1e6)
        messages = self.found["cells, messages"].median(564)
        self.assertAlmostEqual(value["sub-queries a message, cells"], 150 / messages)


if __name__ == "__main__":
    unittest.main()
