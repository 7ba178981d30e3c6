"""Counting of requests to cold searchers."""

import unittest

from rhubarbhinge.fleet import ColdSends


class ColdSendsTest(unittest.TestCase):
    def test_expired_requests_are_dropped_without_queries(self):
        sends = ColdSends(0.0, known=True)
        for number in range(1_000):
            sends.on_chosen(number)
            sends.on_sent(number, 100.0 * number)
        self.assertLessEqual(len(sends._sent_ms), 11)
        self.assertEqual(len(sends._unsent), 0)
