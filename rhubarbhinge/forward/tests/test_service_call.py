"""Retries and hedges of a call."""

import unittest

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward import (
    Failed,
    FailureReason,
    Lost,
    NotRun,
    Refused,
    ReplyReceived,
    RequestTrace,
    Result,
    ServiceCall,
    Unlimited,
)
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied


class FakePermission(Unlimited):
    """Withholds permission for attempts beyond the first until the test grants it."""

    def __init__(self):
        self.numbers: list[int] = []
        self._granted = False
        self._waiting = []

    def claim(self, service: str, number: int, on_granted) -> bool:
        if number == 1:
            return True
        if not self._granted:
            self.numbers.append(number)
            self._waiting.append(on_granted)
        return self._granted

    def grant(self) -> None:
        self._granted = True
        waiting, self._waiting = self._waiting, []
        for on_granted in waiting:
            on_granted()


class ServiceCallTest(unittest.TestCase):
    def start(self, world: FakeWorld, ran: int = 0, **terms: object) -> ServiceCall:
        self.world = world
        self.results: list[Result] = []
        call = ServiceCall(
            world.context,
            REQUEST,
            "shard",
            world.terms(**terms),
            world.delays,
            lambda call, result: self.results.append(result),
            RequestTrace("r1", world.timers.now_ms),
            ran,
        )
        call.start()
        return call

    def sent(self) -> int:
        return len(self.world.attempts)

    def test_the_first_success_is_returned_and_the_other_attempt_cancelled(self):
        self.start(FakeWorld())
        self.world.timers.advance(30.0)
        first, second = self.world.attempts
        self.assertNotEqual(first.name, second.name)
        second.end(replied(body=b"two"))
        self.assertTrue(first.cancelled)
        self.assertEqual(self.results[0].reply.body, b"two")
        first.end(replied(body=b"one"))
        self.assertEqual(len(self.results), 1)

    def test_no_hedge_without_budget(self):
        self.start(FakeWorld(slack=0.0))
        self.world.timers.advance(500.0)
        self.assertEqual(self.sent(), 1)

    def test_no_hedge_is_sent_after_the_deadline(self):
        """Guards against useless sends by an entry that was stalled past the deadline."""
        world = FakeWorld(slack=5.0)
        self.start(world, deadline_ms=world.timers.now_ms() + 40.0)
        world.timers.stall(50.0)
        world.timers.advance(1.0)
        self.assertEqual(1, len(world.attempts))

    def test_no_retry_is_sent_after_the_deadline(self):
        """Guards against useless sends by an entry that was stalled past the deadline."""
        world = FakeWorld(slack=5.0)
        self.start(world, deadline_ms=world.timers.now_ms() + 40.0, hedge_ms=None)
        for _ in range(2):
            world.attempts[-1].end(NotRun(FailureReason.NO_ROOM))
        world.timers.stall(50.0)
        world.timers.advance(1.0)
        self.assertEqual(2, len(world.attempts))
        self.assertEqual([Refused(FailureReason.NO_ROOM)], self.results)

    def test_a_hedge_that_needs_permission_is_sent_once_granted(self):
        permission = FakePermission()
        self.start(FakeWorld(), control=permission)
        self.world.timers.advance(500.0)
        self.assertEqual((self.sent(), permission.numbers), (1, [2]))
        permission.grant()
        self.assertEqual(self.sent(), 2)

    def test_a_retry_that_needs_permission_is_sent_once_granted(self):
        permission = FakePermission()
        self.start(FakeWorld(), control=permission)
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.assertEqual((self.sent(), self.results), (1, []))
        permission.grant()
        self.world.attempts[1].end(replied(body=b"two"))
        self.assertEqual(self.results[0].reply.body, b"two")

    def test_permission_granted_after_the_reply_sends_nothing(self):
        permission = FakePermission()
        self.start(FakeWorld(), control=permission)
        self.world.timers.advance(30.0)
        self.world.attempts[0].end(replied())
        permission.grant()
        self.assertEqual((self.sent(), len(self.results)), (1, 1))

    def test_a_call_pinned_to_a_searcher_is_sent_to_no_other(self):
        for name in ("shard-1", "shard-2"):
            self.start(FakeWorld(), searcher=name, retry_until_ms=0.0)
            self.world.timers.advance(500.0)
            self.assertEqual([attempt.name for attempt in self.world.attempts], [name])
            self.world.attempts[0].end(NotRun(FailureReason.NO_ROOM))
            self.world.timers.advance(500.0)
            self.assertEqual((self.sent(), self.results), (1, [Refused(FailureReason.NO_ROOM)]))

    def restart_searchers(self, born: int) -> FakeWorld:
        """Restart both searchers, in a new world the first time."""
        self.world = FakeWorld() if born == 1_000 else self.world
        for name in ("shard-1", "shard-2"):
            started = Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, started_unix_ms=born)
            self.world.fleet.put(started)
        return self.world

    def test_a_call_pinned_to_a_start_is_not_sent_to_a_later_one(self):
        for born, sent in ((1_000, 1), (2_000, 0), (None, 1)):
            world = self.restart_searchers(1_000)
            self.start(world, searcher="shard-1", searcher_started_unix_ms=born)
            self.assertEqual(self.sent(), sent)

    def test_restarted_searchers_allow_no_additional_attempts(self):
        self.start(self.restart_searchers(1_000), hedge_ms=None)
        self.restart_searchers(2_000)
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.restart_searchers(3_000)
        self.world.attempts[1].end(Lost(FailureReason.BROKEN))
        self.world.timers.advance(500.0)
        self.assertEqual((self.sent(), self.results), (2, [Failed(FailureReason.BROKEN)]))

    def test_a_restarted_searcher_may_receive_the_retry(self):
        # The only searcher left is a new start under the id that already received the request.
        self.start(self.restart_searchers(1_000), hedge_ms=None)
        first = self.world.attempts[0].name
        self.restart_searchers(2_000)
        other = ({"shard-1", "shard-2"} - {first}).pop()
        self.world.fleet.remove(other)
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.assertEqual([attempt.name for attempt in self.world.attempts], [first, first])
        self.world.attempts[1].end(replied(body=b"two"))
        self.assertEqual(self.results[0].reply.body, b"two")

    def test_a_non_idempotent_request_is_not_retried_at_a_restarted_searcher(self):
        self.start(self.restart_searchers(1_000), idempotent=False)
        self.restart_searchers(2_000)
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.world.timers.advance(500.0)
        self.assertEqual((self.sent(), self.results), (1, [Failed(FailureReason.BROKEN)]))

    def test_no_more_attempts_than_allowed(self):
        self.start(FakeWorld(), max_attempts=1)
        self.world.timers.advance(500.0)
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.assertEqual(self.sent(), 1)
        self.assertEqual(self.results, [Failed(FailureReason.BROKEN)])

    def test_a_non_idempotent_request_is_neither_hedged_nor_retried_after_a_loss(self):
        self.start(FakeWorld(), idempotent=False)
        self.world.timers.advance(500.0)
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.world.timers.advance(500.0)
        self.assertEqual(self.sent(), 1)
        self.assertEqual(self.results, [Failed(FailureReason.BROKEN)])

    def test_a_non_idempotent_request_is_retried_when_it_was_not_run(self):
        self.start(FakeWorld(), idempotent=False)
        self.world.attempts[0].end(NotRun(FailureReason.NO_ROOM))
        self.assertEqual(self.sent(), 2)
        self.world.attempts[1].end(replied())
        self.assertIsInstance(self.results[0], ReplyReceived)

    def test_an_error_reply_to_a_non_idempotent_request_is_returned(self):
        self.start(FakeWorld(), idempotent=False)
        self.world.attempts[0].end(replied(500))
        self.assertEqual(self.results[0].reply.status, 500)

    def test_an_error_reply_is_retried_and_returned_when_both_fail(self):
        self.start(FakeWorld())
        self.world.attempts[0].end(replied(500))
        self.world.attempts[1].end(replied(502))
        self.assertEqual(self.results[0].reply.status, 502)

    def test_refusals_by_all_searchers_end_as_refused(self):
        call = self.start(FakeWorld())
        for _ in range(4):
            self.world.attempts[-1].end(NotRun(FailureReason.NO_ROOM))
            self.world.timers.advance(25.0)
        self.assertEqual(self.results, [Refused(FailureReason.NO_ROOM)])
        self.assertFalse(call.may_have_run)

    def test_refusals_consume_budget(self):
        self.start(FakeWorld(slack=0.0))
        self.world.attempts[0].end(NotRun(FailureReason.NO_ROOM))
        self.assertEqual(self.sent(), 1)
        self.assertEqual(self.results, [Refused(FailureReason.NO_ROOM)])

    def test_an_attempt_that_never_arrived_is_retried_without_budget(self):
        self.start(FakeWorld(slack=0.0))
        self.world.attempts[0].end(NotRun(FailureReason.UNREACHABLE))
        self.assertEqual(self.sent(), 2)

    def test_a_queued_attempt_moves_without_budget(self):
        world = FakeWorld(slack=0.0)
        world.unsent_next = True
        call = self.start(world)
        self.assertFalse(call.may_have_run)
        world.unsent_next = False
        world.timers.advance(30.0)
        self.assertTrue(world.attempts[0].cancelled)
        self.assertEqual(self.sent(), 2)
        world.timers.advance(500.0)
        self.assertEqual(self.sent(), 2)

    def test_a_queued_attempt_stays_when_moving_it_lacks_budget(self):
        world = FakeWorld(slack=1.0)
        world.fleet.put(Searcher("shard-3", "shard", "10.0.0.1", 80, "hall-a", 2))
        self.start(world)
        world.unsent_next = True
        world.attempts[0].end(NotRun(FailureReason.NO_ROOM))
        self.assertEqual(self.sent(), 2)
        world.timers.advance(100.0)
        self.assertFalse(world.attempts[1].cancelled)
        world.attempts[1].end(replied())
        self.assertIsInstance(self.results[0], ReplyReceived)

    def test_the_first_send_needs_budget_after_an_arrival_by_another_entry(self):
        self.start(FakeWorld(slack=0.0), ran=1)
        self.world.timers.advance(1.0)
        self.assertEqual(self.sent(), 0)
        self.assertEqual(self.results, [Refused(None)])

    def test_a_service_without_reachable_searchers_is_refused_at_once(self):
        world = FakeWorld()
        for observed in world.fleet.all():
            observed.on_unreachable()
        self.start(world)
        world.timers.advance(0.0)
        self.assertEqual(self.results, [Refused(None)])

    def test_a_cancelled_call_reports_nothing(self):
        call = self.start(FakeWorld())
        call.cancel()
        self.world.attempts[0].end(replied())
        self.world.timers.advance(500.0)
        self.assertEqual((self.results, self.sent()), ([], 1))
