"""How long before it is due an answer is begun: busy processes and narrow links."""

import unittest

from rhubarbhinge.gateway import AnswerLeadTime
from rhubarbhinge.web import Response

SIGNATURES = ", ".join(["3e1b.07.5a2.600.0.c9f2a4d1"] * 90)
ANSWER = Response(200, b"x" * 160, (("Signatures", SIGNATURES),))


class AnswerLeadTimeTest(unittest.TestCase):
    def test_an_answer_of_90_shards_is_begun_the_time_sooner_that_its_link_takes(self):
        lead = AnswerLeadTime(lambda: 7_000.0)
        before_ms = lead.lead_ms("scan")
        lead.on_answered("scan", ANSWER)
        self.assertTrue(2.9 < lead.lead_ms("scan") - before_ms < 3.6)
        self.assertEqual(lead.lead_ms("other"), before_ms)

    def test_a_wide_link_and_one_whose_rate_is_not_known_cost_next_to_nothing(self):
        for rate in (1e6, 0.0):
            lead = AnswerLeadTime(lambda rate=rate: rate)
            before_ms = lead.lead_ms("scan")
            lead.on_answered("scan", ANSWER)
            self.assertLess(lead.lead_ms("scan") - before_ms, 0.03)

    def test_an_entry_that_is_mostly_late_begins_sooner_and_later_again_once_it_is_not(self):
        lead = AnswerLeadTime(lambda: 0.0)
        for _ in range(64):
            lead.on_write_delay(6.0)
        self.assertEqual(lead.lead_ms("scan"), 6.0)
        for _ in range(64):
            lead.on_write_delay(0.5)
        self.assertEqual(lead.lead_ms("scan"), 0.5)

    def test_one_stall_does_not_cost_every_search_its_last_shards(self):
        lead = AnswerLeadTime(lambda: 0.0)
        for _ in range(30):
            lead.on_write_delay(1.0)
        lead.on_write_delay(400.0)
        self.assertEqual(lead.lead_ms("scan"), 1.0)
        for _ in range(64):
            lead.on_write_delay(400.0)
        self.assertEqual(lead.lead_ms("scan"), 20.0)

    def test_routes_that_are_gone_are_forgotten(self):
        lead = AnswerLeadTime(lambda: 7_000.0)
        lead.on_answered("scan", ANSWER)
        lead.retain({"other"})
        self.assertEqual(lead.lead_ms("scan"), lead.lead_ms("other"))
