"""Retries and hedges of one call."""

import unittest

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward import (
    Failed,
    Lost,
    NotRun,
    Passed,
    Refused,
    Result,
    ServiceCall,
    Story,
    Unlimited,
    Why,
)
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied


class FakeLeave(Unlimited):
    """Leave for attempts beyond the first, given when a test says so."""

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
            world.around,
            REQUEST,
            "shard",
            world.terms(**terms),
            world.delays,
            lambda call, result: self.results.append(result),
            Story("r1", world.timers.now_ms),
            ran,
        )
        call.start()
        return call

    def sent(self) -> int:
        return len(self.world.attempts)

    def test_the_first_success_is_passed_on_and_the_other_is_cancelled(self):
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

    def test_nothing_is_hedged_after_its_deadline(self):
        """Guards against sends in vain by an entry that was held up past the deadline."""
        world = FakeWorld(slack=5.0)
        self.start(world, deadline_ms=world.timers.now_ms() + 40.0)
        world.timers.stall(50.0)
        world.timers.advance(1.0)
        self.assertEqual(1, len(world.attempts))

    def test_nothing_is_tried_again_after_its_deadline(self):
        """Guards against sends in vain by an entry that was held up past the deadline."""
        world = FakeWorld(slack=5.0)
        self.start(world, deadline_ms=world.timers.now_ms() + 40.0, hedge_ms=None)
        for _ in range(2):
            world.attempts[-1].end(NotRun(Why.NO_ROOM))
        world.timers.stall(50.0)
        world.timers.advance(1.0)
        self.assertEqual(2, len(world.attempts))
        self.assertEqual([Refused(Why.NO_ROOM)], self.results)

    def test_a_hedge_that_needs_leave_is_sent_once_there_is_leave(self):
        leave = FakeLeave()
        self.start(FakeWorld(), control=leave)
        self.world.timers.advance(500.0)
        self.assertEqual((self.sent(), leave.numbers), (1, [2]))
        leave.grant()
        self.assertEqual(self.sent(), 2)

    def test_a_retry_that_needs_leave_is_sent_once_there_is_leave(self):
        leave = FakeLeave()
        self.start(FakeWorld(), control=leave)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.assertEqual((self.sent(), self.results), (1, []))
        leave.grant()
        self.world.attempts[1].end(replied(body=b"two"))
        self.assertEqual(self.results[0].reply.body, b"two")

    def test_leave_that_comes_after_the_reply_sends_nothing(self):
        leave = FakeLeave()
        self.start(FakeWorld(), control=leave)
        self.world.timers.advance(30.0)
        self.world.attempts[0].end(replied())
        leave.grant()
        self.assertEqual((self.sent(), len(self.results)), (1, 1))

    def test_a_call_that_is_for_one_searcher_goes_to_no_other(self):
        for name in ("shard-1", "shard-2"):
            self.start(FakeWorld(), searcher=name, retry_until_ms=0.0)
            self.world.timers.advance(500.0)
            self.assertEqual([attempt.name for attempt in self.world.attempts], [name])
            self.world.attempts[0].end(NotRun(Why.NO_ROOM))
            self.world.timers.advance(500.0)
            self.assertEqual((self.sent(), self.results), (1, [Refused(Why.NO_ROOM)]))

    def start_again(self, born: int) -> FakeWorld:
        """Have both searchers start again, in a world of their own the first time."""
        self.world = FakeWorld() if born == 1_000 else self.world
        for name in ("shard-1", "shard-2"):
            started = Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2, started_unix_ms=born)
            self.world.fleet.put(started)
        return self.world

    def test_a_call_that_is_for_one_start_of_a_searcher_does_not_go_to_the_next_one(self):
        for born, sent in ((1_000, 1), (2_000, 0), (None, 1)):
            world = self.start_again(1_000)
            self.start(world, searcher="shard-1", searcher_started_unix_ms=born)
            self.assertEqual(self.sent(), sent)

    def test_searchers_that_start_again_buy_no_further_attempts(self):
        self.start(self.start_again(1_000), hedge_ms=None)
        self.start_again(2_000)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.start_again(3_000)
        self.world.attempts[1].end(Lost(Why.BROKEN))
        self.world.timers.advance(500.0)
        self.assertEqual((self.sent(), self.results), (2, [Failed(Why.BROKEN)]))

    def test_a_searcher_that_started_again_may_be_the_second_one(self):
        # All that is left is a new start under the id that has had the request.
        self.start(self.start_again(1_000), hedge_ms=None)
        first = self.world.attempts[0].name
        self.start_again(2_000)
        other = ({"shard-1", "shard-2"} - {first}).pop()
        self.world.fleet.remove(other)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.assertEqual([attempt.name for attempt in self.world.attempts], [first, first])
        self.world.attempts[1].end(replied(body=b"two"))
        self.assertEqual(self.results[0].reply.body, b"two")

    def test_what_must_not_repeat_is_not_sent_again_to_the_next_start(self):
        self.start(self.start_again(1_000), idempotent=False)
        self.start_again(2_000)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.world.timers.advance(500.0)
        self.assertEqual((self.sent(), self.results), (1, [Failed(Why.BROKEN)]))

    def test_no_more_searchers_than_allowed(self):
        self.start(FakeWorld(), max_attempts=1)
        self.world.timers.advance(500.0)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.assertEqual(self.sent(), 1)
        self.assertEqual(self.results, [Failed(Why.BROKEN)])

    def test_what_must_not_repeat_is_neither_hedged_nor_sent_again_after_a_loss(self):
        self.start(FakeWorld(), idempotent=False)
        self.world.timers.advance(500.0)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.world.timers.advance(500.0)
        self.assertEqual(self.sent(), 1)
        self.assertEqual(self.results, [Failed(Why.BROKEN)])

    def test_what_must_not_repeat_is_sent_again_when_it_was_not_run(self):
        self.start(FakeWorld(), idempotent=False)
        self.world.attempts[0].end(NotRun(Why.NO_ROOM))
        self.assertEqual(self.sent(), 2)
        self.world.attempts[1].end(replied())
        self.assertIsInstance(self.results[0], Passed)

    def test_a_failure_of_what_must_not_repeat_is_passed_on(self):
        self.start(FakeWorld(), idempotent=False)
        self.world.attempts[0].end(replied(500))
        self.assertEqual(self.results[0].reply.status, 500)

    def test_a_failure_is_tried_elsewhere_and_passed_on_when_both_fail(self):
        self.start(FakeWorld())
        self.world.attempts[0].end(replied(500))
        self.world.attempts[1].end(replied(502))
        self.assertEqual(self.results[0].reply.status, 502)

    def test_refusals_by_all_end_as_not_run(self):
        call = self.start(FakeWorld())
        for _ in range(4):
            self.world.attempts[-1].end(NotRun(Why.NO_ROOM))
            self.world.timers.advance(25.0)
        self.assertEqual(self.results, [Refused(Why.NO_ROOM)])
        self.assertFalse(call.may_have_run)

    def test_refusals_draw_on_the_budget(self):
        self.start(FakeWorld(slack=0.0))
        self.world.attempts[0].end(NotRun(Why.NO_ROOM))
        self.assertEqual(self.sent(), 1)
        self.assertEqual(self.results, [Refused(Why.NO_ROOM)])

    def test_what_never_arrived_is_sent_elsewhere_without_budget(self):
        self.start(FakeWorld(slack=0.0))
        self.world.attempts[0].end(NotRun(Why.UNREACHABLE))
        self.assertEqual(self.sent(), 2)

    def test_what_waits_for_a_connection_moves_without_budget(self):
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

    def test_what_waits_goes_on_waiting_where_a_move_has_no_budget(self):
        world = FakeWorld(slack=1.0)
        world.fleet.put(Searcher("shard-3", "shard", "10.0.0.1", 80, "hall-a", 2))
        self.start(world)
        world.unsent_next = True
        world.attempts[0].end(NotRun(Why.NO_ROOM))
        self.assertEqual(self.sent(), 2)
        world.timers.advance(100.0)
        self.assertFalse(world.attempts[1].cancelled)
        world.attempts[1].end(replied())
        self.assertIsInstance(self.results[0], Passed)

    def test_after_an_arrival_by_another_entry_the_first_send_needs_budget(self):
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

    def test_a_cancelled_call_tells_nothing(self):
        call = self.start(FakeWorld())
        call.cancel()
        self.world.attempts[0].end(replied())
        self.world.timers.advance(500.0)
        self.assertEqual((self.results, self.sent()), ([], 1))
