"""A search whose searchers end: what is sent on, and what others get.

The load: a search that ends each searcher that begins it, over shards of two searchers, some of
them left to another entry. Beside it good searches that lose half of their first searchers, or all
of them, to a crash.
"""

from rhubarbhinge.forward import FailureReason, Lost, NotRun
from rhubarbhinge.gather import EndedSearcher, FarNews, FarSearch
from rhubarbhinge.gather.tests.gathering_case import SHARDS, GatheringCase
from rhubarbhinge.quarantine import RequestWatch


class EndedSearchersTest(GatheringCase):
    """A search whose searchers end: what is sent on, and what others get."""

    def start(self, one_first: bool = False, **more: object) -> None:
        self.marks: list[tuple[int, ...]] = []
        self.watch = RequestWatch(
            one_first,
            lambda: self.gathering.cancel(),
            lambda: None,
            lambda watch, marks: self.marks.append(marks),
        )
        super().start(control=self.watch, **more)

    def end_searchers(self, *services: str) -> None:
        """End the searchers that have one of the shards at the moment."""
        for attempt in list(self.world.attempts):
            if attempt.service in services and not attempt.cancelled and not attempt.ended:
                attempt.ended = True
                self.world.observed(attempt.name).on_unreachable()
                attempt.end(Lost(FailureReason.BROKEN, searcher_exited=True))

    def test_each_shard_loses_one_searcher_and_one_of_them_two(self):
        self.start()
        self.end_searchers(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 1)
        self.end_searchers(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 1)
        self.assertEqual(len(self.marks[0]), len(SHARDS) + 1)

    def test_hedges_before_any_reply_leave_most_shards_their_second_searcher(self):
        """Guards against a request that ends both searchers of all shards by its hedges."""
        self.start(hedge_ms=20.0)
        self.world.timers.advance(30.0)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 2)
        self.end_searchers(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS) + 2)
        self.assertEqual(len(self.marks), 1)

    def test_hedges_of_a_good_search_all_go_at_the_first_reply(self):
        self.start(hedge_ms=20.0)
        self.world.timers.advance(30.0)
        self.answer("s3")
        hedged = {one.service for one in self.world.attempts[len(SHARDS) :]}
        self.assertLessEqual(set(SHARDS) - {"s3"}, hedged)
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_a_search_that_loses_half_of_its_searchers_to_a_crash_is_whole(self):
        self.start()
        self.end_searchers("s0", "s1")
        self.answer(*SHARDS)
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_a_search_that_loses_all_its_first_searchers_to_a_crash_is_whole(self):
        self.start()
        self.end_searchers(*SHARDS)
        self.answer("s0")
        self.assertEqual(len(self.world.attempts), 2 * len(SHARDS))
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_what_another_entry_wants_waits_and_is_granted_after_a_reply(self):
        address = "10.0.0.9"
        self.start(far={address: ["s2", "s3"]})
        self.end_searchers("s0", "s1")
        ended = FarNews((EndedSearcher("s2", 7), EndedSearcher("s3", 8)))
        self.assertEqual(self.far.news[address](("s2", "s3"), ended), ())
        self.answer("s0")
        self.assertEqual(self.far.granted, ["s2", "s3"])

    def test_a_reply_at_another_entry_lets_shards_go_on_here(self):
        address = "10.0.0.9"
        self.start(far={address: ["s2", "s3"]})
        self.end_searchers("s0", "s1")
        sent = len(self.world.attempts)
        self.assertEqual(self.far.news[address]((), FarNews((), replied=True)), ())
        self.assertEqual(len(self.world.attempts), sent + 1)

    def test_searchers_that_end_at_another_entry_stop_the_search_here(self):
        address = "10.0.0.9"
        self.start(far={address: ["s2", "s3"]})
        news = self.far.news[address]
        self.assertEqual(news(("s2",), FarNews((EndedSearcher("s2", 7),))), ("s2",))
        self.end_searchers("s0")
        self.assertEqual(news((), FarNews((EndedSearcher("s2", 9),))), ())
        self.assertEqual(self.marks, [(7, self.mark("s0"), 9)])
        self.assertEqual(self.far.cancelled, 1)

    def mark(self, service: str) -> int:
        attempt = next(one for one in self.world.attempts if one.service == service)
        return attempt.exchange.searcher.start.mark

    def test_a_trial_goes_to_one_searcher_and_on_to_all_after_its_reply(self):
        self.start(one_first=True)
        self.assertEqual(len(self.world.attempts), 1)
        self.answer(*SHARDS)
        self.assertEqual(len(self.world.attempts), len(SHARDS))
        self.answer(*SHARDS)
        self.assertEqual(self.ends[0].missing, ())

    def test_a_trial_whose_searcher_ends_goes_to_no_other(self):
        self.start(one_first=True)
        self.end_searchers(*SHARDS)
        self.assertEqual((len(self.world.attempts), len(self.marks[0])), (1, 1))

    def test_a_trial_that_no_searcher_takes_goes_to_another_shard(self):
        self.start(one_first=True)
        for name in ("s0-1", "s0-2"):
            self.world.fleet.mark_gone(self.world.observed(name))
        self.world.attempts[0].end(NotRun(FailureReason.LEAVING))
        self.world.timers.advance(200.0)
        self.assertEqual({one.service for one in self.world.attempts}, {"s0", "s1"})
        self.answer("s1")
        self.assertEqual({one.service for one in self.world.attempts}, set(SHARDS))

    def test_shards_that_are_lost_while_a_trial_runs_are_left_out(self):
        asked = []
        self.start(one_first=True)
        shards_for = self.far.search.shards_for

        def noting(request, terms, served):
            asked.extend(served)
            return shards_for(request, terms, served)

        self.gathering._far = FarSearch(noting, self.far.search.ask)
        for name in ("s3-1", "s3-2"):
            self.world.observed(name).on_unreachable()
        self.answer("s0")
        self.assertEqual(asked, ["s1", "s2"])
        self.answer("s1", "s2")
        self.assertEqual(self.ends[0].missing, ("s3",))
