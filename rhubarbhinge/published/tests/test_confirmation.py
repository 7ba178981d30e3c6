"""Confirmations of the published state, and their absence."""

import unittest

from rhubarbhinge.published._confirmation import RECHECK_MS, Confirmation
from rhubarbhinge.utils.fake_timers import FakeTimers

LIMIT_MS = 2_000.0


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.overdue_ms: list[float] = []
        self.confirmation = Confirmation(self.timers, LIMIT_MS, self.on_overdue)

    def on_overdue(self) -> None:
        self.overdue_ms.append(self.timers.now_ms())

    def test_state_that_is_confirmed_again_and_again_is_never_overdue(self):
        self.confirmation.start()
        for _ in range(20):
            self.confirmation.confirm(0.0)
            self.timers.advance(LIMIT_MS - 1.0)
        self.assertEqual((self.overdue_ms, self.confirmation.lapses), ([], 0))

    def test_age_of_a_confirmation_counts(self):
        self.confirmation.start()
        self.timers.advance(1_000.0)
        self.confirmation.confirm(900.0)
        due_ms = self.timers.now_ms() + LIMIT_MS - 900.0
        self.timers.advance(1_200.0)
        self.assertEqual(self.overdue_ms, [due_ms])

    def test_overdue_confirmation_is_requested_until_it_arrives(self):
        self.confirmation.start()
        self.timers.advance(LIMIT_MS + 2 * RECHECK_MS)
        self.assertEqual((len(self.overdue_ms), self.confirmation.lapses), (3, 1))
        self.confirmation.confirm(0.0)
        self.timers.advance(LIMIT_MS - RECHECK_MS)
        self.assertEqual(len(self.overdue_ms), 3)

    def test_confirmation_that_is_itself_too_old_ends_nothing(self):
        self.confirmation.start()
        self.timers.advance(LIMIT_MS)
        self.confirmation.confirm(LIMIT_MS + 1.0)
        self.timers.advance(RECHECK_MS)
        self.assertEqual((len(self.overdue_ms), self.confirmation.lapses), (2, 1))

    def test_state_of_unknown_age_confirms_nothing(self):
        self.confirmation.confirm(-1.0)
        self.assertEqual((self.confirmation.age_ms(), self.confirmation.is_known), (-1.0, False))
