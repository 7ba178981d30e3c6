"""Review of the queue of a searcher, and what a call does with its outcomes."""

import heapq
import unittest

from msgspec.structs import replace

from rhubarbhinge.admission import virtual_start_ms
from rhubarbhinge.fleet import Delays, Searcher
from rhubarbhinge.forward import (
    Exchange,
    Failed,
    FailureReason,
    GivenUp,
    Lost,
    NotRun,
    Refused,
    ReplyReceived,
    RequestTrace,
    ServiceCall,
)
from rhubarbhinge.forward._connections import SearcherConnections
from rhubarbhinge.forward._pending_exchange import PendingExchange
from rhubarbhinge.forward._queue_review import review, withdraw_expected_late
from rhubarbhinge.forward._search_terms import SearchTerms
from rhubarbhinge.forward._service_call import MAX_REFUSALS
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied


class ReviewTest(unittest.TestCase):
    def setUp(self):
        self.connections = SearcherConnections()
        self.delays = Delays(100.0)
        for _ in range(32):
            self.delays.add(100.0)

    def wait(self, number: int, deadline_ms: float, due_ms: float = 1e9, **changes) -> None:
        exchange = Exchange(
            None, REQUEST, deadline_ms, self.delays, 1, due_ms, "r", None, float(number)
        )
        exchange = replace(exchange, **changes)
        pending = PendingExchange(number, exchange, lambda outcome: None, lambda pending: None)
        heapq.heappush(self.connections.waiting, pending)

    def removed(self, now_ms: float) -> dict[int, FailureReason]:
        found = review(self.connections, 1, now_ms)
        return {pending.number: reason for pending, reason in found}

    def order(self) -> list[int]:
        order = []
        while (pending := self.connections.pop_waiting()) is not None:
            order.append(pending.number)
        return order

    def test_requests_expected_too_late_at_the_recent_pace_are_withdrawn(self):
        for number in range(20):
            self.connections.pace.on_sent(50.0 * number)
        for number in range(1, 8):
            self.wait(number, 1_260.0 if number < 7 else 60_000.0)
        self.wait(8, 60_000.0, due_ms=60_000.0, virtual_start_ms=None, priority=0)
        removed = withdraw_expected_late(self.connections, 48, 1_000.0)
        # 1,260 ms less 0.6 of 100 ms of work leaves 200 ms: five turns, one of them of the shard.
        self.assertEqual([one.number for one in removed], [5, 6])
        self.assertEqual(self.order(), [8, 1, 2, 3, 4, 7])

    def test_requests_without_time_for_a_reply_are_removed(self):
        # Otherwise their callers get the refusal at the deadline only.
        self.wait(1, 1_050.0)
        self.wait(2, 1_070.0)
        self.assertEqual(self.removed(1_000.0), {1: FailureReason.TOO_LATE})
        self.assertEqual(self.order(), [2])

    def test_late_requests_are_moved_behind_the_others(self):
        self.wait(1, 9_000.0, due_ms=1_050.0)
        self.wait(2, 9_000.0, due_ms=2_000.0)
        self.assertEqual(self.removed(1_000.0), {})
        self.assertEqual(self.order(), [2, 1])

    def test_late_requests_whose_turn_is_too_late_are_removed(self):
        for number in range(1, 6):
            self.wait(number, 1_260.0 + number, due_ms=1_000.0)
        expected = dict.fromkeys((4, 5), FailureReason.QUEUE_TOO_LONG)
        self.assertEqual(self.removed(1_000.0), expected)

    def test_queue_is_not_estimated_without_samples(self):
        self.delays = Delays(100.0)
        for number in range(1, 6):
            self.wait(number, 1_260.0, due_ms=1_000.0)
        self.assertEqual(self.removed(1_000.0), {})

    def test_shards_of_searches_keep_their_order_and_their_deadline(self):
        search = {"search": SearchTerms(10, 100.0), "virtual_start_ms": None}
        self.wait(1, 1_010.0, **search)
        self.wait(2, 9_000.0, priority=0, **search)
        self.wait(3, 9_000.0)
        self.assertEqual(self.removed(1_000.0), {})
        self.assertEqual(self.order(), [2, 1, 3])

    def test_virtual_start_time_orders_forwarded_requests(self):
        for number, start_ms in ((1, virtual_start_ms(0.0, 2, 3)), (2, virtual_start_ms(90, 2, 0))):
            self.wait(number, 9_000.0, virtual_start_ms=start_ms)
        self.assertEqual(self.order(), [2, 1])


class WaitedInVainTest(unittest.TestCase):
    def start(self, unsent: bool, world: FakeWorld | None = None, **terms) -> None:
        self.world = world or FakeWorld()
        self.world.unsent_next = unsent
        self.results = []
        self.call = ServiceCall(
            self.world.context,
            REQUEST,
            "shard",
            self.world.terms(**terms),
            self.world.delays,
            lambda call, result: self.results.append(result),
            RequestTrace("r1", self.world.timers.now_ms),
        )
        self.call.start()

    def test_call_goes_on_with_its_attempt_in_progress(self):
        # The hedge waited in vain; the first attempt was sent and still replies.
        for reason in (FailureReason.TOO_LATE, FailureReason.QUEUE_TOO_LONG):
            self.start(unsent=False)
            self.world.unsent_next = True
            self.world.timers.advance(31.0)
            first, hedge = self.world.attempts
            hedge.end(NotRun(reason))
            self.assertEqual((self.results, len(self.world.attempts)), ([], 2))
            first.end(replied())
            self.assertIsInstance(self.results[0], ReplyReceived)

    def test_request_that_may_have_run_is_not_refused(self):
        self.start(unsent=False, hedge_ms=None)
        self.world.unsent_next = True
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.world.attempts[1].end(NotRun(FailureReason.TOO_LATE))
        self.assertEqual(self.results, [Failed(FailureReason.TOO_LATE)])

    def test_request_does_not_wait_in_the_queue_of_every_searcher_in_turn(self):
        # Otherwise its refusal comes later with every searcher of the service.
        self.world = FakeWorld()
        for place in range(3, 21):
            searcher = Searcher(f"shard-{place}", "shard", "10.0.0.1", 80, "hall-a", 2)
            self.world.fleet.put(searcher)
        self.start(unsent=True, world=self.world, hedge_ms=None, retry_until_ms=0.0)
        while not self.results:
            self.world.attempts[-1].end(NotRun(FailureReason.QUEUE_TOO_LONG))
        self.assertEqual(len(self.world.attempts), MAX_REFUSALS)
        self.assertEqual(self.results, [Refused(FailureReason.QUEUE_TOO_LONG)])

    def test_attempt_whose_fate_is_open_does_not_keep_a_call_from_other_searchers(self):
        # An entry that was given up may take two seconds to tell whether it has begun.
        self.world = FakeWorld()
        self.world.fleet.put(Searcher("shard-3", "shard", "10.0.0.1", 80, "hall-a", 2))
        self.start(unsent=False, world=self.world, hedge_ms=None, max_attempts=3)
        self.world.unsent_next = True
        self.world.attempts[0].end(GivenUp())
        self.world.attempts[1].end(NotRun(FailureReason.QUEUE_TOO_LONG))
        self.assertEqual(len(self.world.attempts), 3)

    def test_another_searcher_is_tried_if_the_queue_is_too_long(self):
        self.start(unsent=True, hedge_ms=None, retry_until_ms=0.0)
        for attempt in range(2):
            self.assertEqual(self.results, [])
            self.world.attempts[attempt].end(NotRun(FailureReason.QUEUE_TOO_LONG))
        self.assertNotEqual(self.world.attempts[0].name, self.world.attempts[1].name)
        self.assertEqual(self.results, [Refused(FailureReason.QUEUE_TOO_LONG)])
