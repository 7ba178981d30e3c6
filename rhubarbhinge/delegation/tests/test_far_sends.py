"""Single shards of other failure domains, sent by an entry there: mostly hedges."""

import unittest

from rhubarbhinge.delegation import Answer, Ask, FarSends
from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward import Exchange, FailureReason, Lost, NotRun, Replied, SearchTerms
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeAttempt, FakeWorld
from rhubarbhinge.gather import FarNews

SEARCH = SearchTerms(5, 95.0)


class FakeDelegates:
    """Entries of ``hall-b``, whose answers a test gives."""

    def __init__(self):
        self.ready = ["10.0.1.2"]
        self.asks: list[Ask] = []
        self.cancelled = 0

    def choose(self, failure_domain: str, count: int) -> list[str]:
        return self.ready[:count] if failure_domain == "hall-b" else []

    def ask(self, ip: str, ask: Ask, on_answer, grant):
        self.asks.append(ask)
        self.answer, self.grant = on_answer, grant
        return self

    def cancel(self) -> None:
        self.cancelled += 1


class FarSendsTest(unittest.TestCase):
    def setUp(self):
        self.world = FakeWorld(services=("s0",))
        self.world.fleet.put(Searcher("far", "s0", "10.0.1.9", 80, "hall-b", 2))
        self.far = self.world.observed("far")
        self.delegates = FakeDelegates()
        self.direct: list[FakeAttempt] = []
        self.outcomes = []
        self.sends = FarSends(self.world.timers, self.delegates, "hall-a", self._send_directly)

    def _send_directly(self, exchange, tell) -> FakeAttempt:
        self.direct.append(FakeAttempt(exchange, tell))
        return self.direct[-1]

    def send(self, name: str = "far", search: SearchTerms | None = SEARCH):
        now_ms = self.world.timers.now_ms()
        exchange = Exchange(
            self.world.observed(name),
            REQUEST,
            now_ms + 1_000.0,
            self.world.delays,
            1,
            now_ms + 90.0,
            "scan",
            search,
        )
        return self.sends.send(exchange, self.outcomes.append)

    def answer(self, services=(), untried=(), pending=(), ran: bool = True) -> None:
        signatures = tuple(f"sig-{name}" for name in services)
        self.delegates.answer(Answer(0, services, signatures, untried, pending, ran, b"z" * 16))

    def test_a_send_by_another_entry_does_not_stay_among_those_to_come(self):
        now_ms = self.world.timers.now_ms()
        sends = self.far.cold_sends(now_ms)
        self.send()
        self.assertFalse(sends.has_room(1, now_ms))
        self.assertTrue(sends.has_room(1, now_ms + 1_100.0))

    def test_a_far_shard_is_asked_of_one_entry_at_one_searcher(self):
        self.send()
        (ask,) = self.delegates.asks
        self.assertEqual((ask.services, ask.max_attempts, ask.top_k), (("s0",), 1, 5))
        self.assertEqual(ask.searcher, "far")
        self.assertEqual((ask.answer_in_ms, ask.left_ms), (84.0, 1_000.0))
        self.assertEqual(self.delegates.grant(("s0",), FarNews()), ())
        self.assertEqual(len(self.far.started_ms), 1)
        self.world.timers.advance(25.0)
        self.answer(services=("s0",))
        (outcome,) = self.outcomes
        self.assertIsInstance(outcome, Replied)
        self.assertEqual((outcome.reply.signature, outcome.reply.body), ("sig-s0", b"z" * 16))
        self.assertEqual((outcome.delay_ms, len(self.far.started_ms)), (25.0, 0))

    def test_a_shard_near_this_entry_and_what_is_no_search_is_sent_directly(self):
        self.send("s0-1")
        self.send(search=None)
        self.assertEqual((len(self.direct), self.delegates.asks), (2, []))

    def test_without_an_entry_to_ask_it_is_sent_directly(self):
        self.delegates.ready = []
        self.send()
        self.assertEqual((len(self.direct), self.delegates.asks), (1, []))

    def test_what_is_still_searched_when_it_is_due_is_waited_for(self):
        self.send()
        self.answer(pending=("s0",))
        self.assertEqual(self.outcomes, [])
        self.answer(services=("s0",))
        self.assertIsInstance(self.outcomes[0], Replied)

    def test_untried_is_not_run_and_a_failure_may_have_run(self):
        self.send()
        self.answer(untried=("s0",))
        self.send()
        self.answer()
        self.send()
        self.delegates.answer(None)
        self.send()
        self.answer(ran=False)
        lost = Lost(FailureReason.BROKEN)
        expected = [NotRun(FailureReason.UNREACHABLE), lost, lost, NotRun(FailureReason.NO_ROOM)]
        self.assertEqual(self.outcomes, expected)
        self.assertEqual(len(self.far.started_ms), 0)

    def test_an_answer_of_another_shard_is_none(self):
        self.send()
        self.answer(services=("s1",))
        self.assertEqual(self.outcomes, [Lost(FailureReason.BROKEN)])

    def test_cancelling_cancels_the_ask_and_tells_nothing(self):
        attempt = self.send()
        attempt.cancel()
        attempt.cancel()
        self.answer(services=("s0",))
        self.assertEqual((self.delegates.cancelled, self.outcomes), (1, []))
        self.assertEqual(len(self.far.started_ms), 0)
