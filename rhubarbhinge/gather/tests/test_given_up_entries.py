"""Tests for searches with shards at an entry that was given up before it accepted them.

Guards against a search that fails for lack of attempts while that entry may still reply that it has
sent nothing, and against one that waits although nothing can change any more.
"""

from rhubarbhinge.forward import FailureReason, NotRun
from rhubarbhinge.gather import PartialResult, TooFewShards
from rhubarbhinge.gather.tests.scatter_gather_case import SHARDS, ScatterGatherCase

ENTRY = "10.0.0.9"
NOT_BEGUN = PartialResult((), (), ("s3",), (), False, b"")


class GivenUpEntriesTest(ScatterGatherCase):
    def give_up(self) -> None:
        """Start a search whose last shard is at an entry that is given up."""
        self.start(min_coverage=1.0, delegated={ENTRY: ["s3"]})
        self.delegated.on_given_up()
        self.answer("s0", "s1", "s2")

    def sends(self) -> list[str]:
        return [attempt.name for attempt in self.world.attempts if attempt.service == "s3"]

    def test_returned_attempt_is_used_after_the_last_one_was_lost(self):
        self.give_up()
        self.lose("s3")
        self.assertEqual((len(self.sends()), self.ends), (1, []))
        self.delegated.on_part[ENTRY](NOT_BEGUN)
        self.assertEqual(len(self.sends()), 2)
        self.answer("s3")
        self.assertEqual(self.ends[0].missing, ())

    def test_returned_attempt_is_not_sent_beside_one_in_progress(self):
        self.give_up()
        self.delegated.on_part[ENTRY](NOT_BEGUN)
        self.assertEqual(len(self.sends()), 1)
        self.answer("s3")
        self.assertEqual(self.ends[0].missing, ())

    def test_search_fails_once_the_entry_is_known_to_have_begun(self):
        self.give_up()
        self.lose("s3")
        self.delegated.on_part[ENTRY](None)
        self.assertEqual(self.ends, [TooFewShards(("s3",), True)])

    def test_search_that_was_never_sent_was_not_run(self):
        # Callers get 503 with "not run" in place of 502.
        self.start(min_coverage=1.0, delegated={ENTRY: list(SHARDS)})
        for observed in self.world.fleet.all():
            observed.on_unreachable()
        self.delegated.on_given_up()
        self.world.timers.advance(10.0)
        self.assertEqual(self.ends, [])
        self.delegated.on_part[ENTRY](PartialResult((), (), SHARDS, (), False, b""))
        self.world.timers.advance(500.0)
        self.assertEqual(self.ends, [TooFewShards(SHARDS, False)])

    def test_search_fails_at_once_if_a_returned_attempt_could_not_be_sent(self):
        self.give_up()
        for _ in range(4):
            for attempt in list(self.world.attempts):
                if attempt.service == "s3" and not attempt.ended:
                    attempt.ended = True
                    attempt.end(NotRun(FailureReason.NO_ROOM))
            self.world.timers.advance(25.0)
        self.assertEqual(self.ends, [TooFewShards(("s3",), True)])

    def test_deadline_ends_a_search_that_waits_for_the_entry(self):
        self.give_up()
        self.lose("s3")
        self.search.time_out()
        self.assertEqual(self.ends, [TooFewShards(("s3",), True, timed_out=True)])
        self.assertEqual(self.delegated.cancelled, 1)
        self.delegated.on_part[ENTRY](NOT_BEGUN)
        self.assertEqual(len(self.sends()), 1)
