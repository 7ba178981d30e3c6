"""Retries that wait for loans of retry budget."""

import unittest
from unittest import mock

from msgspec.structs import replace

from rhubarbhinge.forward import (
    Failed,
    FailureReason,
    Lost,
    NotRun,
    Outcome,
    Refused,
    ReplyReceived,
    RequestTrace,
    Result,
    ServiceCall,
)
from rhubarbhinge.forward import _request_trace as trace_module
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied

NO_ROOM = NotRun(FailureReason.NO_ROOM)


class FakeLoans:
    """A request for a loan that is outstanding until the test ends it."""

    def __init__(self, is_asking: bool = True):
        self.is_asking = is_asking
        self.waiting = {}

    def wait(self, service, on_ended) -> bool:
        if self.is_asking:
            self.waiting[on_ended] = None
        return self.is_asking

    def stop_waiting(self, service, on_ended) -> None:
        self.waiting.pop(on_ended, None)

    def end(self) -> None:
        self.is_asking = False
        waiting, self.waiting = self.waiting, {}
        for on_ended in waiting:
            on_ended()


class LoanWaitTest(unittest.TestCase):
    def start(self, is_asking: bool = True, **terms: object) -> None:
        self.world = FakeWorld(slack=0.0)
        self.loans = FakeLoans(is_asking)
        self.results: list[Result] = []
        self.call = ServiceCall(
            replace(self.world.context, loans=self.loans),
            REQUEST,
            "shard",
            self.world.terms(**{"hedge_ms": None, **terms}),
            self.world.delays,
            lambda call, result: self.results.append(result),
            RequestTrace("r1", self.world.timers.now_ms),
        )
        self.call.start()

    def end_first(self, outcome: Outcome = NO_ROOM) -> None:
        self.world.attempts[0].end(outcome)

    def borrow(self) -> None:
        self.world.budget.borrow("shard", 1, self.world.timers.now_ms(), 2_000.0)

    def test_a_retry_is_sent_once_a_loan_has_come(self):
        self.start()
        self.end_first()
        self.assertEqual((len(self.world.attempts), self.results), (1, []))
        self.borrow()
        self.loans.end()
        self.world.timers.advance(200.0)
        self.assertEqual(len(self.world.attempts), 2)
        self.world.attempts[1].end(replied())
        self.assertIsInstance(self.results[0], ReplyReceived)

    def test_a_refused_loan_ends_the_call_at_once(self):
        self.start()
        self.end_first()
        self.loans.end()
        self.assertEqual(self.results, [Refused(FailureReason.NO_ROOM)])

    def test_a_silent_lender_costs_no_more_than_the_wait(self):
        """Guards against requests that hang on an entry that has died."""
        self.start()
        self.end_first(Lost(FailureReason.BROKEN))
        self.world.timers.advance(24.0)
        self.assertEqual(self.results, [])
        self.world.timers.advance(1.0)
        self.assertEqual(self.results, [Failed(FailureReason.BROKEN)])
        self.assertEqual(self.loans.waiting, {})

    def test_the_wait_ends_at_the_deadline(self):
        self.start(deadline_ms=1_010.0)
        self.end_first()
        self.world.timers.advance(10.0)
        self.assertEqual(self.results, [Refused(FailureReason.NO_ROOM)])

    def test_without_an_outstanding_request_nothing_waits(self):
        self.start(is_asking=False)
        self.end_first()
        self.assertEqual(self.results, [Refused(FailureReason.NO_ROOM)])

    def test_a_loan_that_another_call_has_spent_is_waited_for_again_within_the_time(self):
        """Guards against a wait that starts anew with each request, and against one too few."""
        self.start()
        self.end_first()
        self.world.timers.advance(20.0)
        waiting, self.loans.waiting = self.loans.waiting, {}
        for on_ended in waiting:
            on_ended()
        self.assertEqual((len(self.loans.waiting), self.results), (1, []))
        self.world.timers.advance(5.0)
        self.assertEqual(self.results, [Refused(FailureReason.NO_ROOM)])

    def test_a_hedge_that_is_sent_replaces_the_waiting_retry(self):
        """Guards against two sends where one was to be made."""
        self.start(hedge_ms=10.0)
        self.end_first()
        self.borrow()
        self.borrow()
        self.world.timers.advance(10.0)
        self.loans.end()
        self.world.timers.advance(100.0)
        self.assertEqual(len(self.world.attempts), 2)

    def test_hedges_do_not_wait(self):
        self.start(hedge_ms=10.0)
        self.world.timers.advance(10.0)
        self.assertEqual((len(self.world.attempts), self.loans.waiting), (1, {}))

    def test_a_cancelled_call_waits_no_longer(self):
        self.start()
        self.end_first()
        self.call.cancel()
        self.borrow()
        self.loans.end()
        self.world.timers.advance(50.0)
        self.assertEqual((len(self.world.attempts), self.results), (1, []))

    def reasons(self) -> list[str]:
        with mock.patch.object(trace_module, "log_event") as log_event:
            self.call._trace.write_log()
        events = [(one.args[0], one.kwargs.get("why")) for one in log_event.call_args_list]
        return [why for name, why in events if name == "retry-not-sent"]

    def test_each_reason_not_to_retry_is_noted(self):
        """Guards against traces that end without a reason."""
        self.start(max_attempts=1)
        self.end_first(Lost(FailureReason.BROKEN))
        self.assertEqual(self.reasons(), ["no-attempts"])
        self.start(idempotent=False)
        self.end_first(Lost(FailureReason.BROKEN))
        self.assertEqual(self.reasons(), ["not-idempotent"])
        self.start(is_asking=False)
        self.end_first()
        self.assertEqual(self.reasons(), ["no-budget"])
