"""Tests for scatter-gather searches: when they are answered, and with what."""

from rhubarbhinge.forward import FailureReason, NotRun, RequestTrace
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied
from rhubarbhinge.gather import (
    Gathered,
    GatherTerms,
    PartialResult,
    ScatterGather,
    TooFewShards,
)
from rhubarbhinge.gather.tests.scatter_gather_case import SHARDS, ScatterGatherCase
from rhubarbhinge.plans import ShardSet


class ScatterGatherTest(ScatterGatherCase):
    def test_replies_of_all_shards_are_merged(self):
        self.start()
        self.answer(*SHARDS)
        end = self.ends[0]
        self.assertEqual(end.signatures, tuple(f"sig-{name}" for name in SHARDS))
        self.assertEqual(end.missing, ())
        self.assertEqual(end.body, b"s3" * 8 + b"s2" * 8)

    def test_partial_answer_is_sent_when_due(self):
        self.start()
        self.answer("s0", "s1", "s2")
        self.world.timers.advance(89.0)
        self.assertEqual(self.ends, [])
        self.world.timers.advance(2.0)
        self.assertEqual(self.ends[0].missing, ("s3",))
        self.assertTrue(all(a.cancelled for a in self.world.attempts if a.service == "s3"))

    def test_answer_is_sent_before_pending_calls_are_cancelled(self):
        # Closing the connections of ten missing shards takes about 2 ms on half a core.
        self.start(delegated={"10.0.0.9": ["s2"]})
        cancelled = []

        def note(end: Gathered) -> None:
            cancelled.extend(attempt.cancelled for attempt in self.world.attempts)
            cancelled.append(self.delegated.cancelled)

        self.search._on_end = note
        self.answer("s0", "s1")
        self.delegated.on_part["10.0.0.9"](PartialResult((), (), (), ("s2",), True, b""))
        self.world.timers.advance(91.0)
        self.answer("s3")
        self.assertEqual(cancelled, [False, False, False, 0])
        self.assertEqual(self.delegated.cancelled, 1)

    def test_overdue_answer_is_sent_once_enough_shards_reply(self):
        self.start()
        self.answer("s0", "s1")
        self.world.timers.advance(200.0)
        self.assertEqual(self.ends, [])
        self.answer("s3")
        self.assertEqual(self.ends[0].missing, ("s2",))

    def test_search_fails_once_too_few_shards_can_reply(self):
        self.start()
        for service in ("s0", "s0", "s1", "s1"):
            self.lose(service)
        self.assertEqual(self.ends, [TooFewShards(SHARDS, True)])
        self.assertTrue(all(a.cancelled for a in self.world.attempts if a.service == "s3"))

    def test_too_few_reachable_shards_fail_without_sending(self):
        self.world = FakeWorld(services=SHARDS)
        self.start()
        self.search.cancel()
        world = self.world
        for name in ("s0-1", "s0-2", "s1-1", "s1-2"):
            world.observed(name).on_unreachable()
        sent = len(world.attempts)
        ends: list[Gathered | TooFewShards] = []
        terms = GatherTerms(
            "route", ShardSet(SHARDS, 2, 0.75), 100.0, 1_090.0, world.terms(hedge_ms=None)
        )
        ScatterGather(
            world.context,
            REQUEST,
            terms,
            world.delays,
            self.delegated.delegation,
            ends.append,
            RequestTrace("r1", world.timers.now_ms),
        ).start()
        world.timers.advance(0.0)
        self.assertEqual(ends, [TooFewShards(SHARDS, False)])
        self.assertEqual(len(world.attempts), sent)

    def test_signed_error_replies_are_not_merged(self):
        self.start(min_coverage=0.5)
        for attempt in list(self.world.attempts):
            if attempt.service == "s0":
                attempt.end(replied(500))
        for attempt in self.world.attempts[4:]:
            attempt.end(replied(500))
        self.answer("s1", "s2", "s3")
        self.assertEqual(self.ends[0].missing, ("s0",))

    def test_search_refused_by_all_shards_was_not_run(self):
        self.start(min_coverage=0.25)
        for _ in range(8):
            for attempt in list(self.world.attempts):
                attempt.end(NotRun(FailureReason.NO_ROOM))
            self.world.timers.advance(25.0)
        self.assertEqual(self.ends, [TooFewShards(SHARDS, False)])

    def test_deadline_ends_search_with_too_few_shards(self):
        self.start()
        self.answer("s0", "s1")
        self.search.time_out()
        self.assertEqual(self.ends, [TooFewShards(("s2", "s3"), True, timed_out=True)])

    def test_part_of_another_entry_is_merged(self):
        self.start(delegated={"10.0.0.9": ["s2", "s3"]})
        self.assertEqual({attempt.service for attempt in self.world.attempts}, {"s0", "s1"})
        self.answer("s0", "s1")
        self.delegated.on_part["10.0.0.9"](
            PartialResult(("s2", "s3"), ("f2", "f3"), (), (), True, b"z" * 16)
        )
        self.assertEqual(self.ends[0].signatures, ("sig-s0", "sig-s1", "f2", "f3"))
        self.assertEqual(self.ends[0].body, b"z" * 16 + b"s1" * 8)

    def test_shards_of_a_failed_entry_are_resent_within_the_retry_budget(self):
        self.start(delegated={"10.0.0.9": ["s2", "s3"]}, slack=1.0)
        self.delegated.on_part["10.0.0.9"](None)
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())
        self.start(delegated={"10.0.0.9": ["s2", "s3"]}, slack=0.0)
        self.delegated.on_part["10.0.0.9"](None)
        self.world.timers.advance(0.0)
        self.assertEqual({attempt.service for attempt in self.world.attempts}, {"s0", "s1"})
        self.assertEqual(self.ends, [TooFewShards(SHARDS, True)])

    def test_untried_shards_are_sent_without_using_the_retry_budget(self):
        self.start(delegated={"10.0.0.9": ["s2", "s3"]}, slack=0.0)
        self.delegated.on_part["10.0.0.9"](PartialResult(("s2",), ("f2",), ("s3",), (), True, b""))
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_shards_that_another_entry_failed_to_search_are_not_resent(self):
        # The other entry has used their attempts; sending here too would exceed the route's limit.
        self.start(min_coverage=1.0, delegated={"10.0.0.9": ["s2", "s3"]})
        self.delegated.on_part["10.0.0.9"](PartialResult(("s2",), ("f2",), (), (), True, b""))
        self.assertEqual({attempt.service for attempt in self.world.attempts}, {"s0", "s1"})
        self.assertEqual(self.ends, [TooFewShards(("s0", "s1", "s3"), True)])

    def test_shards_of_a_failed_entry_get_only_remaining_attempts(self):
        self.start(min_coverage=0.5, delegated={"10.0.0.9": ["s3"]})
        self.delegated.on_part["10.0.0.9"](None)
        self.answer("s0", "s1", "s2")
        self.lose("s3")
        runs = [attempt for attempt in self.world.attempts if attempt.service == "s3"]
        self.assertEqual(len(runs), 1)
        self.assertEqual(self.ends[0].missing, ("s3",))

    def test_attempts_granted_to_a_failed_entry_count_as_used(self):
        self.start(min_coverage=0.5, delegated={"10.0.0.9": ["s2", "s3"]})
        self.assertEqual(self.delegated.grant_attempts["10.0.0.9"](("s3",)), ("s3",))
        self.delegated.on_part["10.0.0.9"](None)
        self.world.timers.advance(0.0)
        services = [attempt.service for attempt in self.world.attempts]
        self.assertEqual(services, ["s0", "s1", "s2"])

    def test_grants_are_limited_to_the_attempts_of_the_route(self):
        self.start(min_coverage=0.5, delegated={"10.0.0.9": ["s2", "s3"]})
        grant_attempts = self.delegated.grant_attempts["10.0.0.9"]
        self.assertEqual(grant_attempts(("s2", "s0", "x")), ("s2",))
        self.assertEqual(grant_attempts(("s2", "s3")), ("s3",))

    def test_no_attempts_are_granted_after_the_delegated_search_ended(self):
        self.start(min_coverage=0.5, delegated={"10.0.0.9": ["s2", "s3"]})
        grant_attempts = self.delegated.grant_attempts["10.0.0.9"]
        self.delegated.on_part["10.0.0.9"](PartialResult(("s2",), ("f2",), (), ("s3",), True, b""))
        self.assertEqual(grant_attempts(("s2", "s3")), ("s3",))
        self.delegated.on_part["10.0.0.9"](None)
        self.assertEqual(grant_attempts(("s3",)), ())

    def test_pending_shards_of_another_entry_are_awaited(self):
        self.start(min_coverage=1.0, delegated={"10.0.0.9": ["s2", "s3"]}, slack=0.0)
        self.answer("s0", "s1")
        self.delegated.on_part["10.0.0.9"](
            PartialResult(("s2",), ("f2",), (), ("s3",), True, b"y" * 16)
        )
        self.world.timers.advance(1_000.0)
        self.assertEqual(self.ends, [])
        self.delegated.on_part["10.0.0.9"](PartialResult(("s3",), ("f3",), (), (), True, b"z" * 16))
        self.assertEqual(self.ends[0].missing, ())
        self.assertEqual(self.ends[0].body, b"z" * 16 + b"y" * 16)
        self.assertEqual(len(self.world.attempts), 2)

    def test_pending_shards_of_an_entry_that_fails_later_are_resent(self):
        self.start(min_coverage=1.0, delegated={"10.0.0.9": ["s2", "s3"]})
        self.answer("s0", "s1")
        self.delegated.on_part["10.0.0.9"](PartialResult(("s2",), ("f2",), (), ("s3",), True, b""))
        self.delegated.on_part["10.0.0.9"](None)
        self.assertEqual([attempt.service for attempt in self.world.attempts[2:]], ["s3"])

    def test_part_with_a_shard_both_answered_and_pending_is_rejected(self):
        self.start(delegated={"10.0.0.9": ["s2", "s3"]})
        self.delegated.on_part["10.0.0.9"](
            PartialResult(("s2",), ("f2",), (), ("s2",), True, b"z" * 16)
        )
        self.answer(*SHARDS)
        self.assertNotIn("f2", self.ends[0].signatures)

    def test_part_with_shards_not_delegated_is_rejected(self):
        self.start(delegated={"10.0.0.9": ["s3"]})
        self.delegated.on_part["10.0.0.9"](
            PartialResult(("s3", "s0"), ("f3", "f0"), (), (), True, b"z" * 16)
        )
        self.answer(*SHARDS)
        self.assertEqual(sorted(self.ends[0].signatures), [f"sig-{name}" for name in SHARDS])
        self.assertEqual(self.ends[0].body, b"s3" * 8 + b"s2" * 8)

    def test_cancel_stops_searchers_and_other_entries(self):
        self.start(delegated={"10.0.0.9": ["s2", "s3"]})
        self.search.cancel()
        self.assertEqual(self.delegated.cancelled, 1)
        self.assertTrue(all(attempt.cancelled for attempt in self.world.attempts))
        self.world.timers.advance(1_000.0)
        self.assertEqual(self.ends, [])
