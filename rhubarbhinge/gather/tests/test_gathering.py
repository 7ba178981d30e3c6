"""Searches: when they are answered, and with what."""

from rhubarbhinge.forward import FailureReason, NotRun, RequestTrace
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld, replied
from rhubarbhinge.gather import (
    FarPart,
    Gathered,
    Gathering,
    GatherTerms,
    NotEnough,
)
from rhubarbhinge.gather.tests.gathering_case import SHARDS, GatheringCase
from rhubarbhinge.plans import ShardSet


class GatheringTest(GatheringCase):
    def test_all_parts_are_merged(self):
        self.start()
        self.answer(*SHARDS)
        end = self.ends[0]
        self.assertEqual(end.signatures, tuple(f"sig-{name}" for name in SHARDS))
        self.assertEqual(end.missing, ())
        self.assertEqual(end.body, b"s3" * 8 + b"s2" * 8)

    def test_enough_is_answered_when_the_time_has_come(self):
        self.start()
        self.answer("s0", "s1", "s2")
        self.world.timers.advance(89.0)
        self.assertEqual(self.ends, [])
        self.world.timers.advance(2.0)
        self.assertEqual(self.ends[0].missing, ("s3",))
        self.assertTrue(all(a.cancelled for a in self.world.attempts if a.service == "s3"))

    def test_the_answer_goes_before_what_is_still_open_is_cancelled(self):
        # Closing the connections of ten missing shards takes an entry with half a core some 2 ms.
        self.start(far={"10.0.0.9": ["s2"]})
        cancelled = []

        def note(end: Gathered) -> None:
            cancelled.extend(attempt.cancelled for attempt in self.world.attempts)
            cancelled.append(self.far.cancelled)

        self.gathering._on_end = note
        self.answer("s0", "s1")
        self.far.tells["10.0.0.9"](FarPart((), (), (), ("s2",), True, b""))
        self.world.timers.advance(91.0)
        self.answer("s3")
        self.assertEqual(cancelled, [False, False, False, 0])
        self.assertEqual(self.far.cancelled, 1)

    def test_too_little_waits_and_is_answered_as_soon_as_it_is_enough(self):
        self.start()
        self.answer("s0", "s1")
        self.world.timers.advance(200.0)
        self.assertEqual(self.ends, [])
        self.answer("s3")
        self.assertEqual(self.ends[0].missing, ("s2",))

    def test_what_can_not_become_enough_fails_at_once(self):
        self.start()
        for service in ("s0", "s0", "s1", "s1"):
            self.lose(service)
        self.assertEqual(self.ends, [NotEnough(SHARDS, True)])
        self.assertTrue(all(a.cancelled for a in self.world.attempts if a.service == "s3"))

    def test_shards_that_can_not_be_reached_refuse_without_a_send(self):
        self.world = FakeWorld(services=SHARDS)
        self.start()
        self.gathering.cancel()
        world = self.world
        for name in ("s0-1", "s0-2", "s1-1", "s1-2"):
            world.observed(name).on_unreachable()
        sent = len(world.attempts)
        ends: list[Gathered | NotEnough] = []
        terms = GatherTerms(
            "route", ShardSet(SHARDS, 2, 0.75), 100.0, 1_090.0, world.terms(hedge_ms=None)
        )
        Gathering(
            world.context,
            REQUEST,
            terms,
            world.delays,
            self.far.search,
            ends.append,
            RequestTrace("r1", world.timers.now_ms),
        ).start()
        world.timers.advance(0.0)
        self.assertEqual(ends, [NotEnough(SHARDS, False)])
        self.assertEqual(len(world.attempts), sent)

    def test_a_failure_with_a_signature_is_no_part(self):
        self.start(least=0.5)
        for attempt in list(self.world.attempts):
            if attempt.service == "s0":
                attempt.end(replied(500))
        for attempt in self.world.attempts[4:]:
            attempt.end(replied(500))
        self.answer("s1", "s2", "s3")
        self.assertEqual(self.ends[0].missing, ("s0",))

    def test_refusals_by_all_shards_are_not_run(self):
        self.start(least=0.25)
        for _ in range(8):
            for attempt in list(self.world.attempts):
                attempt.end(NotRun(FailureReason.NO_ROOM))
            self.world.timers.advance(25.0)
        self.assertEqual(self.ends, [NotEnough(SHARDS, False)])

    def test_the_deadline_ends_it_with_what_there_is(self):
        self.start()
        self.answer("s0", "s1")
        self.gathering.time_out()
        self.assertEqual(self.ends, [NotEnough(("s2", "s3"), True, timed_out=True)])

    def test_another_entry_s_part_is_merged(self):
        self.start(far={"10.0.0.9": ["s2", "s3"]})
        self.assertEqual({attempt.service for attempt in self.world.attempts}, {"s0", "s1"})
        self.answer("s0", "s1")
        self.far.tells["10.0.0.9"](FarPart(("s2", "s3"), ("f2", "f3"), (), (), True, b"z" * 16))
        self.assertEqual(self.ends[0].signatures, ("sig-s0", "sig-s1", "f2", "f3"))
        self.assertEqual(self.ends[0].body, b"z" * 16 + b"s1" * 8)

    def test_a_failed_entry_s_shards_are_asked_directly_by_the_budget(self):
        self.start(far={"10.0.0.9": ["s2", "s3"]}, slack=1.0)
        self.far.tells["10.0.0.9"](None)
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())
        self.start(far={"10.0.0.9": ["s2", "s3"]}, slack=0.0)
        self.far.tells["10.0.0.9"](None)
        self.world.timers.advance(0.0)
        self.assertEqual({attempt.service for attempt in self.world.attempts}, {"s0", "s1"})
        self.assertEqual(self.ends, [NotEnough(SHARDS, True)])

    def test_shards_that_the_other_entry_did_not_try_are_asked_without_budget(self):
        self.start(far={"10.0.0.9": ["s2", "s3"]}, slack=0.0)
        self.far.tells["10.0.0.9"](FarPart(("s2",), ("f2",), ("s3",), (), True, b""))
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_shards_that_another_entry_failed_at_are_not_asked_again(self):
        # It has spent their attempts; asking here as well would exceed those of the route.
        self.start(least=1.0, far={"10.0.0.9": ["s2", "s3"]})
        self.far.tells["10.0.0.9"](FarPart(("s2",), ("f2",), (), (), True, b""))
        self.assertEqual({attempt.service for attempt in self.world.attempts}, {"s0", "s1"})
        self.assertEqual(self.ends, [NotEnough(("s0", "s1", "s3"), True)])

    def test_shards_of_a_failed_entry_get_the_attempts_that_are_left(self):
        self.start(least=0.5, far={"10.0.0.9": ["s3"]})
        self.far.tells["10.0.0.9"](None)
        self.answer("s0", "s1", "s2")
        self.lose("s3")
        runs = [attempt for attempt in self.world.attempts if attempt.service == "s3"]
        self.assertEqual(len(runs), 1)
        self.assertEqual(self.ends[0].missing, ("s3",))

    def test_shards_that_a_failed_entry_had_leave_to_send_twice_are_not_sent_a_third_time(self):
        self.start(least=0.5, far={"10.0.0.9": ["s2", "s3"]})
        self.assertEqual(self.far.more["10.0.0.9"](("s3",)), ("s3",))
        self.far.tells["10.0.0.9"](None)
        self.world.timers.advance(0.0)
        services = [attempt.service for attempt in self.world.attempts]
        self.assertEqual(services, ["s0", "s1", "s2"])

    def test_another_entry_gets_leave_for_no_more_attempts_than_the_route_has(self):
        self.start(least=0.5, far={"10.0.0.9": ["s2", "s3"]})
        more = self.far.more["10.0.0.9"]
        self.assertEqual(more(("s2", "s0", "x")), ("s2",))
        self.assertEqual(more(("s2", "s3")), ("s3",))

    def test_an_entry_whose_ask_is_over_gets_no_leave(self):
        self.start(least=0.5, far={"10.0.0.9": ["s2", "s3"]})
        more = self.far.more["10.0.0.9"]
        self.far.tells["10.0.0.9"](FarPart(("s2",), ("f2",), (), ("s3",), True, b""))
        self.assertEqual(more(("s2", "s3")), ("s3",))
        self.far.tells["10.0.0.9"](None)
        self.assertEqual(more(("s3",)), ())

    def test_shards_that_another_entry_still_searches_are_waited_for(self):
        self.start(least=1.0, far={"10.0.0.9": ["s2", "s3"]}, slack=0.0)
        self.answer("s0", "s1")
        self.far.tells["10.0.0.9"](FarPart(("s2",), ("f2",), (), ("s3",), True, b"y" * 16))
        self.world.timers.advance(1_000.0)
        self.assertEqual(self.ends, [])
        self.far.tells["10.0.0.9"](FarPart(("s3",), ("f3",), (), (), True, b"z" * 16))
        self.assertEqual(self.ends[0].missing, ())
        self.assertEqual(self.ends[0].body, b"z" * 16 + b"y" * 16)
        self.assertEqual(len(self.world.attempts), 2)

    def test_an_entry_that_fails_later_leaves_the_shards_that_it_had_not_told_of(self):
        self.start(least=1.0, far={"10.0.0.9": ["s2", "s3"]})
        self.answer("s0", "s1")
        self.far.tells["10.0.0.9"](FarPart(("s2",), ("f2",), (), ("s3",), True, b""))
        self.far.tells["10.0.0.9"](None)
        self.assertEqual([attempt.service for attempt in self.world.attempts[2:]], ["s3"])

    def test_a_shard_that_a_part_both_has_and_waits_for_makes_it_unsound(self):
        self.start(far={"10.0.0.9": ["s2", "s3"]})
        self.far.tells["10.0.0.9"](FarPart(("s2",), ("f2",), (), ("s2",), True, b"z" * 16))
        self.answer(*SHARDS)
        self.assertNotIn("f2", self.ends[0].signatures)

    def test_a_part_with_shards_that_were_not_asked_for_is_not_taken(self):
        self.start(far={"10.0.0.9": ["s3"]})
        self.far.tells["10.0.0.9"](FarPart(("s3", "s0"), ("f3", "f0"), (), (), True, b"z" * 16))
        self.answer(*SHARDS)
        self.assertEqual(sorted(self.ends[0].signatures), [f"sig-{name}" for name in SHARDS])
        self.assertEqual(self.ends[0].body, b"s3" * 8 + b"s2" * 8)

    def test_cancelling_stops_searchers_and_entries(self):
        self.start(far={"10.0.0.9": ["s2", "s3"]})
        self.gathering.cancel()
        self.assertEqual(self.far.cancelled, 1)
        self.assertTrue(all(attempt.cancelled for attempt in self.world.attempts))
        self.world.timers.advance(1_000.0)
        self.assertEqual(self.ends, [])
