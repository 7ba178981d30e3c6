"""The target's arithmetic."""

import unittest

from tools.slopes.target import TARGET, cores, load_after_loss, per_row_us


class TargetTest(unittest.TestCase):
    def test_rates(self):
        self.assertAlmostEqual(TARGET.vm_sub_queries_per_s(), 53_165, delta=1)
        self.assertAlmostEqual(TARGET.entry_queries_per_s() * 150, TARGET.vm_sub_queries_per_s())
        self.assertAlmostEqual(TARGET.searcher_sub_queries_per_s(), 4_667, delta=1)
        through_relays = TARGET.searchers_a_relay() * TARGET.searcher_sub_queries_per_s()
        self.assertAlmostEqual(through_relays, TARGET.vm_sub_queries_per_s())
        self.assertAlmostEqual(TARGET.searchers_a_domain() / TARGET.relays_a_domain(), 11.39, 2)
        self.assertAlmostEqual(TARGET.changes_per_s(), 0.266, 3)

    def test_costs(self):
        self.assertEqual(cores(50_000, 20), 1.0)
        self.assertEqual(per_row_us(80, 1, 4), 21)
        self.assertEqual(per_row_us(80, 1, 1), 81)

    def test_losses(self):
        self.assertAlmostEqual(load_after_loss(7), 7 / 6)
        with self.assertRaises(ValueError):
            load_after_loss(2, 2)


if __name__ == "__main__":
    unittest.main()
