"""Asks between two entries, on real sockets."""

import random
import time
import unittest

from circuits import BaseComponent
from msgspec.structs import replace

from rhubarbhinge.delegation import Answer, Ask, AskServer, Delegates
from rhubarbhinge.delegation._delegates import TAKEN_MS
from rhubarbhinge.fleet import Delays, DomainReach
from rhubarbhinge.forward import Lost, Surroundings, Why
from rhubarbhinge.forward.tests.fakes import FakeWorld, replied
from rhubarbhinge.gather import AttemptReport
from rhubarbhinge.members import Member, Membership, MemberState, Published
from rhubarbhinge.net import Links
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree
from rhubarbhinge.utils.testing_revisions import make_revision

ASK = Ask(0, "r1", b"GET /x HTTP/1.1\r\n", b"", "route", ("s0", "s1"), 2, 1, 2, 5e4, 4e4, 5e4)
OTHER = Member("vm-2", "127.0.0.1", "hall-b", 2)


class DelegationTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        self.timers = TimerService().register(self.root)
        self.hedge_ms = None
        self.leave = lambda services: services
        self.world = FakeWorld(services=("s0", "s1"))
        around = self.world.around
        around = Surroundings(
            self.timers,
            around.fleet,
            around.preference,
            around.budget,
            around.send,
            around.metrics,
        )
        self.server = AskServer(
            self.timers,
            around,
            lambda ask, delays: self.world.terms(
                hedge_ms=self.hedge_ms, deadline_ms=self.timers.now_ms() + 60_000.0
            ),
            lambda route, target_ms: Delays(20.0),
            ("127.0.0.1", 0),
        ).register(self.root)
        self.addCleanup(stop_tree, self.root)
        self.answers: list[Answer | None] = []

    def delegates(self, port: int) -> Delegates:
        self.membership = Membership(
            self.timers,
            Member("vm-1", "10.0.0.1", "hall-a", 1),
            (),
            random.Random(1),
            lambda ip, heartbeat: None,
            lambda: Published(make_revision(0), -1.0),
        )
        self.membership.on_members([OTHER])
        reach = DomainReach(self.timers.now_ms, lambda failure_domain: None)
        return Delegates(self.timers, self.membership, port, random.Random(1), reach).register(
            self.root
        )

    def more(self, services: tuple[str, ...], news: AttemptReport) -> tuple[str, ...]:
        return self.leave(services)

    def wait(self, condition) -> None:
        self.assertTrue(run_until(self.root, condition), "the bound was reached")

    def open(self, delegates: Delegates) -> str:
        self.wait(lambda: delegates.choose("hall-b", 1))
        return delegates.choose("hall-b", 1)[0]

    def asked(self) -> Delegates:
        delegates = self.delegates(self.server._links.bound_port)
        self.ask = delegates.ask(self.open(delegates), ASK, self.answers.append, self.more)
        self.wait(lambda: len(self.world.attempts) == 2)
        return delegates

    def test_the_parts_of_all_shards_come_back_merged(self):
        self.asked()
        for attempt in self.world.attempts:
            record = attempt.service.encode() * 8
            attempt.end(replied(body=record, signature=f"sig-{attempt.service}"))
        self.wait(lambda: self.answers)
        answer = self.answers[0]
        self.assertEqual(answer.services, ("s0", "s1"))
        self.assertEqual(answer.signatures, ("sig-s0", "sig-s1"))
        self.assertEqual(answer.body, b"s1" * 8 + b"s0" * 8)
        self.assertEqual(self.server.open_asks, 0)

    def test_links_that_were_made_ready_serve_the_first_search(self):
        """Pattern: the first searches of an entry. Without links it sends to all shards itself, and
        opens a connection to each, for which its processor has no time."""
        delegates = self.delegates(self.server._links.bound_port)
        delegates.prepare("hall-b")
        self.wait(lambda: self.server._by_link)
        run_until(self.root, lambda: False, 0.05)
        self.assertEqual(delegates.choose("hall-b", 1), [OTHER.ip])

    def test_a_shard_without_searchers_comes_back_untried(self):
        for name in ("s1-1", "s1-2"):
            self.world.observed(name).on_unreachable()
        delegates = self.delegates(self.server._links.bound_port)
        delegates.ask(self.open(delegates), ASK, self.answers.append, self.more)
        self.wait(lambda: len(self.world.attempts) == 1)
        self.world.attempts[0].end(replied())
        self.wait(lambda: self.answers)
        self.assertEqual(self.answers[0].untried, ("s1",))

    def test_the_time_to_answer_brings_what_there_is(self):
        delegates = self.delegates(self.server._links.bound_port)
        address = self.open(delegates)
        delegates.ask(address, replace(ASK, answer_in_ms=50.0), self.answers.append, self.more)
        self.wait(lambda: len(self.world.attempts) == 2)
        self.world.attempts[0].end(replied())
        self.wait(lambda: self.answers)
        first, second = self.world.attempts
        self.assertEqual(self.answers[0].services, (first.service,))
        self.assertEqual(self.answers[0].pending, (second.service,))
        self.assertTrue(self.answers[0].may_have_run)
        self.assertFalse(second.cancelled)
        second.end(replied(body=b"late" * 4))
        self.wait(lambda: len(self.answers) == 2)
        self.assertEqual(self.answers[1].services, (second.service,))
        self.assertEqual(self.answers[1].pending, ())
        self.assertEqual(self.answers[1].body, b"late" * 4)
        self.assertEqual(self.server.open_asks, 0)

    def test_cancelling_after_a_part_stops_the_rest(self):
        delegates = self.delegates(self.server._links.bound_port)
        ask = delegates.ask(
            self.open(delegates), replace(ASK, answer_in_ms=50.0), self.answers.append, self.more
        )
        self.wait(lambda: self.answers)
        ask.cancel()
        self.wait(lambda: all(attempt.cancelled for attempt in self.world.attempts))
        self.assertEqual(self.server.open_asks, 0)

    def test_a_second_searcher_is_asked_once_the_asking_entry_has_agreed(self):
        self.hedge_ms = 5.0
        wanted: list[tuple[str, ...]] = []

        def leave(services: tuple[str, ...]) -> tuple[str, ...]:
            wanted.append(services)
            return ("s1",)

        self.leave = leave
        self.asked()
        self.wait(lambda: len(self.world.attempts) == 3)
        self.assertEqual(wanted, [("s0", "s1")])
        self.assertEqual(self.world.attempts[2].service, "s1")
        run_until(self.root, lambda: False, 0.1)
        self.assertEqual(len(self.world.attempts), 3)

    def test_an_entry_that_hears_nothing_more_asks_no_second_searcher(self):
        self.hedge_ms = 50.0
        delegates = self.asked()
        delegates._links.send = lambda link, data: None
        run_until(self.root, lambda: False, 0.3)
        self.assertEqual(len(self.world.attempts), 2)

    def test_cancelling_stops_the_searchers(self):
        self.asked()
        self.ask.cancel()
        self.wait(lambda: all(attempt.cancelled for attempt in self.world.attempts))
        self.assertEqual((self.answers, self.server.open_asks), ([], 0))

    def test_an_entry_that_does_not_take_the_ask_has_failed(self):
        silent = Links(
            lambda link, inbound: None,
            lambda link, data: None,
            lambda link, reason: None,
            ("127.0.0.1", 0),
        ).register(self.root)
        delegates = self.delegates(silent.bound_port)
        delegates.ask(self.open(delegates), ASK, self.answers.append, self.more)
        self.wait(lambda: self.answers)
        self.assertEqual(self.answers, [None])
        self.assertEqual(delegates.choose("hall-b", 1), [])

    def test_an_entry_that_was_held_up_itself_gives_no_ask_up_before_it_has_read(self):
        # Opening connections to the searchers of a part takes an entry with half a core some 20 ms.
        # What the other entry said meanwhile has come, and has not been read.
        self.world.on_send = lambda: time.sleep(TAKEN_MS / 1e3)
        self.asked()
        run_until(self.root, lambda: False, 0.1)
        self.assertEqual(self.answers, [])

    def test_an_ask_is_taken_before_its_searchers_are_asked(self):
        # Else whoever asked waits for all that work, and takes the entry for one that has failed.
        unsent_bytes = []
        self.world.on_send = lambda: unsent_bytes.append(self.server.unsent_bytes)
        self.asked()
        self.assertEqual(unsent_bytes, [0, 0])

    def test_an_ask_has_left_before_this_entry_does_anything_else(self):
        # It would leave at the end of the loop turn, after connections to the searchers of this
        # entry's own part were opened, and most of its 30 ms be over before the other one has it.
        delegates = self.delegates(self.server._links.bound_port)
        delegates.ask(self.open(delegates), ASK, self.answers.append, self.more)
        self.assertEqual(delegates._links.pending_bytes, 0)

    def test_an_ask_that_is_due_at_once_is_searched_all_the_same(self):
        delegates = self.delegates(self.server._links.bound_port)
        ask = replace(ASK, answer_in_ms=0.0)
        delegates.ask(self.open(delegates), ask, self.answers.append, self.more)
        self.wait(lambda: self.answers)
        self.assertEqual(set(self.answers[0].pending), {"s0", "s1"})

    def test_an_ask_that_is_cancelled_before_it_was_begun_asks_no_searcher(self):
        delegates = self.delegates(self.server._links.bound_port)
        ask = delegates.ask(self.open(delegates), ASK, self.answers.append, self.more)
        ask.cancel()
        run_until(self.root, lambda: False, 0.1)
        running = [attempt for attempt in self.world.attempts if not attempt.cancelled]
        self.assertEqual((running, self.answers, self.server.open_asks), ([], [], 0))

    def test_an_entry_that_took_the_ask_and_says_nothing_when_it_is_due_has_failed(self):
        # As one that is frozen, or out of processor time: its kernel goes on acknowledging.
        self.server._answer = lambda link, found, answer: None
        delegates = self.delegates(self.server._links.bound_port)
        ask = replace(ASK, answer_in_ms=60.0)
        delegates.ask(self.open(delegates), ask, self.answers.append, self.more)
        self.wait(lambda: self.answers)
        self.assertEqual(self.answers, [None])
        self.wait(lambda: all(attempt.cancelled for attempt in self.world.attempts))

    def test_an_entry_that_has_said_what_there_is_may_take_longer_with_the_rest(self):
        delegates = self.delegates(self.server._links.bound_port)
        ask = replace(ASK, answer_in_ms=30.0)
        delegates.ask(self.open(delegates), ask, self.answers.append, self.more)
        self.wait(lambda: self.answers)
        run_until(self.root, lambda: False, 0.2)
        self.assertEqual(len(self.answers), 1)
        self.assertEqual(set(self.answers[0].pending), {"s0", "s1"})

    def test_a_single_send_is_no_new_request_in_the_counts_of_the_budget(self):
        # The entry that asks has counted it; twice counted it would allow more extra sends.
        counted = []
        self.world.budget.on_request = counted.append
        delegates = self.delegates(self.server._links.bound_port)
        address = self.open(delegates)
        single = replace(ASK, services=("s0",), searcher="s0-1")
        for ask in (single, ASK):
            delegates.ask(address, ask, self.answers.append, self.more)
        self.wait(lambda: len(self.world.attempts) == 3)
        self.assertEqual(counted, [("s0", "s1")])

    def test_leave_that_is_wanted_after_the_ask_was_due_fails_nothing(self):
        delegates = self.delegates(self.server._links.bound_port)
        ask = replace(ASK, answer_in_ms=20.0)
        delegates.ask(self.open(delegates), ask, self.answers.append, self.more)
        self.wait(lambda: self.answers)
        self.assertEqual(set(self.answers[0].pending), {"s0", "s1"})
        run_until(self.root, lambda: False, 0.1)
        self.world.attempts[0].end(Lost(Why.BROKEN))
        self.wait(lambda: len(self.world.attempts) == 3)
        run_until(self.root, lambda: False, 0.1)
        self.assertEqual(len(self.answers), 1)

    def test_an_entry_that_goes_away_has_failed_and_its_searchers_stop(self):
        delegates = self.asked()
        for link in list(self.server._by_link):
            self.server._links.abort(link)
        self.wait(lambda: self.answers)
        self.assertEqual(self.answers, [None])
        self.wait(lambda: all(attempt.cancelled for attempt in self.world.attempts))
        self.assertEqual(delegates.choose("hall-b", 1), [])

    def test_a_few_entries_of_a_domain_are_asked_and_others_by_others(self):
        chosen = []
        for name in ("vm-1", "vm-4", "vm-5"):
            delegates = self.delegates(1)
            self.membership.me = replace(self.membership.me, name=name)
            opened = chosen_by = []
            delegates._open = lambda ip, domain, opened=opened: opened.append(ip)
            others = [replace(OTHER, name=f"vm-x{n}", ip=f"127.0.1.{n}") for n in range(40)]
            self.membership.on_members(others)
            delegates.choose("hall-b", 2)
            chosen.append(frozenset(chosen_by))
        self.assertEqual([len(found) for found in chosen], [6, 6, 6])
        self.assertEqual(len(set(chosen)), 3)

    def test_a_search_that_fails_with_its_first_ask_cancels_its_others_on_the_same_link(self):
        delegates = self.delegates(self.server._links.bound_port)
        address = self.open(delegates)
        asks = []

        def failed(answer: Answer | None) -> None:
            self.answers.append(answer)
            for ask in asks:
                ask.cancel()

        asks += [delegates.ask(address, ASK, failed, self.more) for _ in range(3)]
        self.wait(lambda: len(self.world.attempts) == 6)
        for link in list(self.server._by_link):
            self.server._links.abort(link)
        self.wait(lambda: self.answers)
        run_until(self.root, lambda: False, 0.1)
        self.assertEqual(self.answers, [None])

    def test_an_entry_that_leaves_is_not_asked(self):
        delegates = self.delegates(self.server._links.bound_port)
        self.open(delegates)
        self.membership.on_members([replace(OTHER, state=MemberState.LEFT)])
        self.assertEqual(delegates.choose("hall-b", 1), [])
        self.assertEqual(delegates.choose("hall-c", 1), [])
