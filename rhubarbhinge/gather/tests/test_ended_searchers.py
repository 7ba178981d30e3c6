"""Tests for searches whose searcher processes end while handling them.

Guards against a fatal search, one that ends every searcher that executes it, taking down both
searchers of all shards. The shards have two searchers each, and some are delegated to another
entry. Harmless searches that lose half or all of their first searchers to a crash must complete.
"""

from rhubarbhinge.forward import FailureReason, Lost, NotRun
from rhubarbhinge.gather import AttemptReport, EndedSearcher, PartialResult, ShardDelegation
from rhubarbhinge.gather.tests.scatter_gather_case import SHARDS, ScatterGatherCase
from rhubarbhinge.quarantine import RequestWatch


class EndedSearchersTest(ScatterGatherCase):
    def start(self, one_first: bool = False, **more: object) -> None:
        self.marks: list[tuple[int, ...]] = []
        self.watch = RequestWatch(
            one_first,
            lambda: self.search.cancel(),
            lambda: None,
            lambda watch, marks: self.marks.append(marks),
        )
        super().start(control=self.watch, **more)

    def end_searchers(self, *services: str) -> None:
        """End the searchers that are currently handling the given shards."""
        for attempt in list(self.world.attempts):
            if attempt.service in services and not attempt.cancelled and not attempt.ended:
                attempt.ended = True
                self.world.observed(attempt.name).on_unreachable()
                attempt.end(Lost(FailureReason.BROKEN, searcher_exited=True))

    def test_fatal_request_ends_one_searcher_per_shard_and_one_more(self):
        self.start()
        self.end_searchers(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 1)
        self.end_searchers(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 1)
        self.assertEqual(len(self.marks[0]), len(SHARDS) + 1)

    def test_only_two_hedges_are_sent_before_the_first_reply(self):
        """Guards against hedges that let a request end both searchers of all shards."""
        self.start(hedge_ms=20.0)
        self.world.timers.advance(30.0)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 2)
        self.end_searchers(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 2)
        self.assertEqual(len(self.marks), 1)

    def test_all_hedges_are_sent_after_the_first_reply(self):
        self.start(hedge_ms=20.0)
        self.world.timers.advance(30.0)
        self.answer("s3")
        hedged = {one.service for one in self.world.attempts[len(SHARDS) :]}
        self.assertLessEqual(set(SHARDS) - {"s3"}, hedged)
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_search_completes_after_half_of_its_searchers_crash(self):
        self.start()
        self.end_searchers("s0", "s1")
        self.answer(*SHARDS)
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_search_completes_after_all_first_searchers_crash(self):
        self.start()
        self.end_searchers(*SHARDS)
        self.answer("s0")
        self.assertEqual(len(self.world.attempts), 2 * len(SHARDS))
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_attempts_of_another_entry_are_granted_after_a_reply(self):
        address = "10.0.0.9"
        self.start(delegated={address: ["s2", "s3"]})
        self.end_searchers("s0", "s1")
        ended = AttemptReport((EndedSearcher("s2", 7), EndedSearcher("s3", 8)))
        self.assertEqual(self.delegated.report_attempts[address](("s2", "s3"), ended), ())
        self.answer("s0")
        self.assertEqual(self.delegated.granted, ["s2", "s3"])

    def test_reply_at_another_entry_allows_further_attempts_here(self):
        address = "10.0.0.9"
        self.start(delegated={address: ["s2", "s3"]})
        self.end_searchers("s0", "s1")
        sent = len(self.world.attempts)
        self.assertEqual(
            self.delegated.report_attempts[address]((), AttemptReport((), replied=True)), ()
        )
        self.assertEqual(len(self.world.attempts), sent + 1)

    def test_searchers_ended_at_another_entry_stop_the_search_here(self):
        address = "10.0.0.9"
        self.start(delegated={address: ["s2", "s3"]})
        report_attempts = self.delegated.report_attempts[address]
        self.assertEqual(
            report_attempts(("s2",), AttemptReport((EndedSearcher("s2", 7),))), ("s2",)
        )
        self.end_searchers("s0")
        self.assertEqual(report_attempts((), AttemptReport((EndedSearcher("s2", 9),))), ())
        self.assertEqual(self.marks, [(7, self.mark("s0"), 9)])
        self.assertEqual(self.delegated.cancelled, 1)

    def mark(self, service: str) -> int:
        attempt = next(one for one in self.world.attempts if one.service == service)
        return attempt.exchange.searcher.start.mark

    def test_deferred_attempts_of_another_entry_are_granted_after_its_first_results(self):
        """Guards against permissions that are dropped while results are processed."""
        address = "10.0.0.9"
        self.start(delegated={address: list(SHARDS)})
        granted = self.delegated.grant_attempts[address](SHARDS)
        self.assertEqual(granted, ("s0", "s1"))
        first = PartialResult(("s0", "s1"), ("f0", "f1"), (), ("s2", "s3"), True, b"")
        self.delegated.on_part[address](first)
        self.assertEqual(self.delegated.granted, ["s2", "s3"])

    def test_call_that_ends_while_an_entry_fails_does_not_end_the_search(self):
        """Guards against shards that count as lost between the failure of the entry that has them
        and their search in another way."""
        address = "10.0.0.9"
        self.start(delegated={address: list(SHARDS[1:])})
        pending = self.search._pending_shards()
        seen = []
        finish = self.watch.on_call_finished
        self.watch.on_call_finished = lambda name: (
            seen.append(self.search._pending_shards()),
            finish(name),
        )
        self.delegated.on_part[address](None)
        self.assertEqual(set(seen), {pending})
        self.assertEqual(self.ends, [])

    def test_one_first_search_goes_to_all_shards_after_the_first_reply(self):
        self.start(one_first=True)
        self.assertEqual(len(self.world.attempts), 1)
        self.answer(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS))
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_one_first_search_stops_when_its_searcher_ends(self):
        self.start(one_first=True)
        self.end_searchers(*SHARDS)
        self.assertEqual((len(self.world.attempts), len(self.marks[0])), (1, 1))

    def test_one_first_search_tries_another_shard_if_none_accepts(self):
        self.start(one_first=True)
        for name in ("s0-1", "s0-2"):
            self.world.fleet.mark_gone(self.world.observed(name))
        self.world.attempts[0].end(NotRun(FailureReason.LEAVING))
        self.world.timers.advance(200.0)
        self.assertEqual({one.service for one in self.world.attempts}, {"s0", "s1"})
        self.answer("s1")
        self.assertEqual({one.service for one in self.world.attempts}, set(SHARDS))

    def test_shards_lost_during_a_one_first_search_are_skipped(self):
        delegated = []
        self.start(one_first=True)
        shards_for = self.delegated.delegation.shards_for

        def recording(request, terms, served):
            delegated.extend(served)
            return shards_for(request, terms, served)

        self.search._delegation = ShardDelegation(recording, self.delegated.delegation.send)
        for name in ("s3-1", "s3-2"):
            self.world.observed(name).on_unreachable()
        self.answer("s0")
        self.assertEqual(delegated, ["s1", "s2"])
        self.answer("s1", "s2")
        self.assertEqual(self.ends[0].missing, ("s3",))
