"""Timeouts that adapt to a slow platform."""

import unittest

from rhubarbhinge.peers._answer_timeout import AnswerTimeout


class AnswerTimeoutTest(unittest.TestCase):
    def setUp(self):
        self.timeout = AnswerTimeout(750.0)

    def test_grows_while_answers_do_not_arrive_up_to_a_limit(self):
        seen = []
        for _ in range(4):
            self.timeout.on_timeout()
            seen.append(self.timeout.timeout_ms)
        self.assertEqual(seen, [1_500.0, 3_000.0, 3_000.0, 3_000.0])

    def test_follows_the_latency_of_answers(self):
        for latency_ms, expected_ms in ((900.0, 1_800.0), (9_000.0, 3_000.0), (4.0, 750.0)):
            self.timeout.on_answer(latency_ms)
            self.assertEqual(self.timeout.timeout_ms, expected_ms)
