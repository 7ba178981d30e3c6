"""Tests of the history checker with one violation of each kind."""

import unittest

from rhubarbhinge.once import ViolationKind, check_history

VALID_HISTORY = [
    "mint t -",
    "bind t k",
    "answer t unknown",
    "send t r1",
    "run t u1",
    "answer t ran",
    "mint v -",
    "answer v refused_not_run",
]


def faults(lines: list[str]) -> list[ViolationKind]:
    return [violation.kind for violation in check_history(lines)]


class HistoryTest(unittest.TestCase):
    def test_valid_history_passes(self):
        self.assertEqual([], faults([*VALID_HISTORY, ""]))

    def test_each_violation_is_found(self):
        violating_lines = {
            ViolationKind.SENT_TWICE: ["send t r2"],
            ViolationKind.SENT_UNMINTED: ["send x r1"],
            ViolationKind.RAN_TWICE: ["run t u2"],
            ViolationKind.RAN_UNSENT: ["mint w -", "run w u1"],
            ViolationKind.REFUSED_BUT_RAN: ["answer t refused_not_run"],
            ViolationKind.REFUSED_THEN_SENT: ["send v r1"],
            ViolationKind.ANSWERED_WITHOUT_RUN: ["mint w -", "answer w ran"],
            ViolationKind.KEY_TWO_TICKETS: ["mint w -", "bind w k"],
            ViolationKind.MALFORMED: ["answer t maybe"],
        }
        self.assertEqual(set(ViolationKind), set(violating_lines))
        for fault, lines in violating_lines.items():
            with self.subTest(fault):
                self.assertEqual([fault], faults([*VALID_HISTORY, *lines]))

    def test_run_after_a_refusal_is_reported_at_the_run(self):
        lines = ["mint t -", "send t r1", "answer t refused_not_run", "run t u1"]
        found = check_history(lines)
        self.assertEqual([(ViolationKind.REFUSED_BUT_RAN, 4)], [(v.kind, v.line) for v in found])

    def test_malformed_lines(self):
        self.assertEqual([ViolationKind.MALFORMED] * 2, faults(["mint t", "sing t -"]))
