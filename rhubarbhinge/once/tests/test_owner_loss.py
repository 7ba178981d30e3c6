"""Tests of the loss of a ticket's owner at each step of a run."""

import unittest

from rhubarbhinge.once import check_history, draw_incarnation
from rhubarbhinge.once.tests._fakes import BODIES, ENTRIES, RELAYS, Fleet

OWNER = ENTRIES[0]
RELAY = RELAYS[0]
STEPS = (
    lambda fleet, ticket: fleet.run(OWNER, ticket, BODIES[0]),
    lambda fleet, ticket: fleet.send_run(OWNER, RELAY),
    lambda fleet, ticket: fleet.deliver(0, False),
    lambda fleet, ticket: fleet.call_upstream(RELAY, 0),
    lambda fleet, ticket: fleet.deliver(0, False),
)
STEPS_TO_SEND = 2


class OwnerLossTest(unittest.TestCase):
    def test_owner_is_lost_after_each_step(self):
        for number in range(len(STEPS) + 1):
            with self.subTest(number):
                self._lose_owner_after(number)

    def test_all_steps_without_a_loss_end_in_a_run(self):
        fleet, ticket = self._run_steps(len(STEPS))
        self.assertEqual(f"answer {ticket} ran", fleet.history[-1])

    def test_incarnations_fit_a_signed_field(self):
        asked = []
        draw_incarnation(lambda bits: asked.append(bits) or 0)
        self.assertEqual([63], asked)

    def _lose_owner_after(self, number: int) -> None:
        fleet, ticket = self._run_steps(number)
        fleet.start_entry(OWNER, fleet.now_ms)
        copies = [fleet.run(entry, ticket, BODIES[0]) for entry in ENTRIES]
        copies += [fleet.read(entry, ticket) for entry in ENTRIES]
        fleet.settle()
        self.assertEqual({"unknown"}, {fleet.answers[copy].kind for copy in copies})
        self.assertEqual([], check_history(fleet.history))
        runs = [line for line in fleet.history if line.startswith("run ")]
        self.assertEqual(number >= STEPS_TO_SEND, bool(runs))

    def _run_steps(self, number: int) -> tuple[Fleet, str]:
        fleet = Fleet()
        ticket = fleet.answers[fleet.mint(OWNER, BODIES[0], None)].ticket
        for step in STEPS[:number]:
            step(fleet, ticket)
        return fleet, ticket
