"""Tests for the lead time of answers on busy entries and slow links."""

import unittest

from rhubarbhinge.gateway import AnswerLeadTime
from rhubarbhinge.web import Response

SIGNATURES = ", ".join(["3e1b.07.5a2.600.0.c9f2a4d1"] * 90)
ANSWER = Response(200, b"x" * 160, (("Signatures", SIGNATURES),))


class AnswerLeadTimeTest(unittest.TestCase):
    def test_lead_time_includes_the_transfer_time_of_the_answer(self):
        lead = AnswerLeadTime(lambda: 7_000.0)
        before_ms = lead.lead_ms("scan")
        lead.on_answered("scan", ANSWER)
        self.assertTrue(2.9 < lead.lead_ms("scan") - before_ms < 3.6)
        self.assertEqual(lead.lead_ms("other"), before_ms)

    def test_fast_or_unknown_link_adds_almost_nothing(self):
        for rate in (1e6, 0.0):
            lead = AnswerLeadTime(lambda rate=rate: rate)
            before_ms = lead.lead_ms("scan")
            lead.on_answered("scan", ANSWER)
            self.assertLess(lead.lead_ms("scan") - before_ms, 0.03)

    def test_lead_time_follows_recent_write_delays(self):
        lead = AnswerLeadTime(lambda: 0.0)
        for _ in range(64):
            lead.on_write_delay(6.0)
        self.assertEqual(lead.lead_ms("scan"), 6.0)
        for _ in range(64):
            lead.on_write_delay(0.5)
        self.assertEqual(lead.lead_ms("scan"), 0.5)

    def test_single_stall_is_ignored_and_lead_time_is_limited(self):
        lead = AnswerLeadTime(lambda: 0.0)
        for _ in range(30):
            lead.on_write_delay(1.0)
        lead.on_write_delay(400.0)
        self.assertEqual(lead.lead_ms("scan"), 1.0)
        for _ in range(64):
            lead.on_write_delay(400.0)
        self.assertEqual(lead.lead_ms("scan"), 20.0)

    def test_removed_routes_are_discarded(self):
        lead = AnswerLeadTime(lambda: 7_000.0)
        lead.on_answered("scan", ANSWER)
        lead.retain({"other"})
        self.assertEqual(lead.lead_ms("scan"), lead.lead_ms("other"))
