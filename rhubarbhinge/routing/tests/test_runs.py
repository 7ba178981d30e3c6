import unittest

from rhubarbhinge.routing import RunOutcome
from rhubarbhinge.routing.tests.fakeshell import SHED, FakeShell, spec


def warm() -> FakeShell:
    return FakeShell(spec(0)).warm()


class TestRuns(unittest.TestCase):
    def kind(self, shell: FakeShell, ticket: str = "t") -> RunOutcome:
        return shell.results[ticket].kind

    def test_a_response_with_the_ticket_confirms_the_run(self):
        shell = warm()
        shell.run("t")
        request = next(iter(shell.busy.values()))
        self.assertEqual((request["action"], request["body"]), ("parts-order", {"part": 1}))
        shell.answer(result={})
        self.assertEqual(self.kind(shell), RunOutcome.RAN)
        self.assertIn(b"result", shell.results["t"].payload)

    def test_a_run_goes_before_searches(self):
        shell = warm()
        shell.batch(0, 0, 0)
        shell.run("t")
        shell.answer()
        self.assertEqual(shell.sent_tickets, ["t"])

    def test_an_explicit_refusal_was_not_run(self):
        shell = warm()
        shell.run("t")
        shell.answer(status=503, **SHED)
        self.assertEqual(self.kind(shell), RunOutcome.REFUSED_NOT_RUN)
        self.assertEqual(shell.results["t"].retry_after_ms, 50)

    def test_inconclusive_responses_give_an_unknown_outcome(self):
        for status, body in (
            (503, {"code": "shed"}),
            (503, {"not_run": "yes"}),
            (500, {"not_run": True}),
            (200, {"ticket": "another"}),
            (200, {"ticket": None}),
        ):
            shell = warm()
            shell.run("t")
            shell.answer(status=status, **body)
            self.assertEqual(self.kind(shell), RunOutcome.UNKNOWN, (status, body))

    def test_a_lost_connection_or_a_timeout_is_unknown_and_not_resent(self):
        for end in (lambda shell: shell.close(next(iter(shell.busy))), lambda s: s.wait(300)):
            shell = warm()
            shell.run("t")
            end(shell)
            self.assertEqual(self.kind(shell), RunOutcome.UNKNOWN)
            shell.connect()
            shell.wait(500)
            shell.run("t")
            self.assertEqual(shell.sent_tickets, ["t"])
            self.assertEqual(self.kind(shell), RunOutcome.UNKNOWN)

    def test_an_unsent_run_is_reported_as_not_run(self):
        ends = {
            "expired in the queue": lambda shell: shell.wait(210),
            "draining": lambda shell: shell.vm_list(0),
            "removed": lambda shell: shell.register(),
        }
        for name, end in ends.items():
            shell = warm()
            shell.batch(0, 0, deadline_ms=9000)
            shell.run("t")
            end(shell)
            self.assertEqual(self.kind(shell), RunOutcome.REFUSED_NOT_RUN, name)
            self.assertEqual(shell.sent_tickets, [])

    def test_a_run_with_a_refused_connection_was_not_run_and_may_be_retried(self):
        shell = FakeShell(spec(0))
        shell.run("t")
        for conn in list(shell.opening):
            shell.close(conn)
        self.assertEqual(self.kind(shell), RunOutcome.REFUSED_NOT_RUN)
        shell.wait(60)
        shell.connect()
        shell.run("t")
        self.assertEqual(shell.sent_tickets, ["t"])

    def test_a_body_that_is_not_a_json_object_is_refused(self):
        shell = warm()
        for body in (b"", b"{", b"[]", b'{"a":1}}'):
            effects = shell.core.on_run("entry", "t", spec(0).upstream_id, "x", body, 99, 5000)
            self.assertEqual([effect.kind for effect in effects], [RunOutcome.REFUSED_NOT_RUN])

    def test_a_disconnected_peer_drops_a_queued_run_but_not_a_sent_one(self):
        shell = warm()
        for ticket in ("t1", "t2", "t3"):
            shell.run(ticket)
        shell.peer_gone()
        self.assertEqual(shell.cancels, [])
        shell.answer()
        shell.answer()
        self.assertEqual(shell.sent_tickets, ["t1", "t2"])
        kinds = {ticket: result.kind for ticket, result in shell.results.items()}
        self.assertEqual(kinds, {"t1": RunOutcome.RAN, "t2": RunOutcome.RAN})
        shell.run("t3")
        self.assertEqual(shell.sent_tickets, ["t1", "t2", "t3"])


if __name__ == "__main__":
    unittest.main()
