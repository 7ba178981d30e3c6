"""What is kept of the requests to a searcher that was cold once."""

import unittest

from rhubarbhinge.fleet import ColdSends


class ColdSendsTest(unittest.TestCase):
    def test_only_the_last_second_is_kept_however_long_it_is_not_asked_for(self):
        sends = ColdSends(0.0, known=True)
        for number in range(1_000):
            sends.on_chosen(number)
            sends.on_sent(number, 100.0 * number)
        self.assertLessEqual(len(sends._sent_ms), 11)
        self.assertEqual(len(sends._unsent), 0)
