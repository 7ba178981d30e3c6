"""A request under way: when its further attempts wait for each other, and when it is stopped.

The load: a search over six shards, each sent to one searcher, all of which end 8 ms after they have
begun it. Beside it searches that lose a third of their searchers at once for another cause, which
are to be served as if nothing watched them.
"""

import unittest

from rhubarbhinge.quarantine import RequestWatch

SHARDS = ("s0", "s1", "s2", "s3", "s4", "s5")


class RequestWatchTest(unittest.TestCase):
    def setUp(self):
        self.begin()

    def begin(self, one_first: bool = False) -> None:
        self.stopped = self.cleared = 0
        self.closed: list[tuple[int, ...]] = []
        self.granted: list[str] = []
        self.watch = RequestWatch(
            one_first, self.on_stopped, self.on_cleared, lambda watch, marks: self.end(marks)
        )

    def on_stopped(self) -> None:
        self.stopped += 1

    def on_cleared(self) -> None:
        self.cleared += 1

    def end(self, marks: tuple[int, ...]) -> None:
        self.closed.append(marks)

    def claim(self, service: str, number: int = 2) -> bool:
        return self.watch.claim(service, number, lambda: self.granted.append(service))

    def first_sends(self) -> None:
        for service in SHARDS:
            self.assertTrue(self.claim(service, 1))

    def test_of_a_search_that_ends_all_its_searchers_one_further_attempt_is_sent(self):
        self.first_sends()
        sent = 0
        for mark, service in enumerate(SHARDS):
            self.watch.on_ended(service, mark)
            sent += self.claim(service)
        self.assertEqual((sent, self.granted, self.stopped), (1, [], 0))
        self.watch.on_ended("s0", 10)
        self.assertEqual(self.stopped, 1)
        self.assertEqual(len(self.closed[0]), len(SHARDS) + 1)
        self.assertFalse(self.claim("s1"))
        self.assertEqual(self.granted, [])

    def test_before_any_reply_few_shards_go_to_a_further_searcher(self):
        """Guards against hedges of all shards that end both searchers of each."""
        self.first_sends()
        sent = [service for service in SHARDS if self.claim(service)]
        self.assertEqual((sent, self.granted), (["s0", "s1"], []))
        self.watch.on_over("s0")
        self.assertEqual(self.granted, ["s2", "s3", "s4", "s5"], "none was claimed by its call")
        self.watch.on_replied("s1")
        self.assertTrue(self.claim("s5"))

    def test_hedges_that_wait_go_at_the_first_reply(self):
        self.first_sends()
        for service in SHARDS:
            self.claim(service)
        self.watch.on_replied("s4")
        self.assertEqual(self.granted, ["s2", "s3", "s4", "s5"])

    def test_a_call_to_one_service_is_hedged_whether_or_not_it_has_replied(self):
        self.assertTrue(self.claim("s0", 1))
        self.assertTrue(self.claim("s0", 2))
        self.assertTrue(self.claim("s0", 3))

    def test_a_reply_lets_all_that_waited_go(self):
        self.first_sends()
        for mark in range(3):
            self.watch.on_ended(SHARDS[mark], mark)
            self.claim(SHARDS[mark])
        self.assertEqual(self.granted, [])
        self.watch.on_replied("s5")
        self.assertEqual((self.granted, self.cleared), (["s1", "s2"], 1))
        self.watch.on_ended("s0", 9)
        self.assertTrue(self.claim("s3"))
        self.watch.close()
        self.assertEqual((self.stopped, self.closed), (0, [()]))

    def test_once_a_searcher_has_replied_nothing_waits(self):
        self.first_sends()
        self.watch.on_replied("s0")
        for mark, service in enumerate(SHARDS):
            self.watch.on_ended(service, mark)
            self.assertTrue(self.claim(service))

    def test_an_attempt_that_comes_to_nothing_makes_way_for_the_next(self):
        for mark in range(3):
            self.watch.on_ended(SHARDS[mark], mark)
            self.claim(SHARDS[mark])
        self.assertTrue(self.claim("s0"), "its own further sends are the same attempt")
        self.watch.on_over("s0")
        self.assertEqual(
            self.granted, ["s1", "s2"], "neither was sent after all, as far as is told"
        )

    def test_attempts_that_wait_go_one_at_a_time(self):
        for mark in range(3):
            self.watch.on_ended(SHARDS[mark], mark)
        granted = []
        for service in ("s0", "s1", "s2"):
            self.watch.claim(service, 2, lambda s=service: granted.append((s, self.claim(s))))
        self.watch.on_over("s0")
        self.assertEqual(granted, [("s1", True)])
        self.watch.on_over("s1")
        self.assertEqual(granted, [("s1", True), ("s2", True)])

    def test_one_loss_holds_up_nothing(self):
        self.first_sends()
        self.watch.on_ended("s0", 1)
        self.assertTrue(self.claim("s0"))
        self.assertTrue(self.claim("s1"))
        self.watch.close()
        self.assertEqual(self.closed, [(1,)])

    def test_what_goes_to_one_searcher_first_is_stopped_when_that_one_ends(self):
        self.begin(one_first=True)
        self.assertTrue(self.claim("s0", 1))
        self.assertFalse(self.claim("s1", 1))
        self.watch.on_ended("s0", 1)
        self.assertEqual((self.stopped, self.closed), (1, [(1,)]))

    def test_what_goes_to_one_searcher_first_goes_to_all_once_it_replied(self):
        self.begin(one_first=True)
        self.assertTrue(self.claim("s0", 1))
        self.assertFalse(self.claim("s1", 1))
        self.watch.on_replied("s0")
        self.assertEqual(self.granted, ["s1"])
        self.assertTrue(self.claim("s2", 1))

    def test_a_search_that_ends_without_a_trial_tells_no_more_than_a_suspicion(self):
        self.first_sends()
        for mark, service in enumerate(SHARDS):
            self.watch.on_ended(service, mark)
        self.watch.close()
        self.assertEqual(len(self.closed[0]), 2)

    def test_a_call_to_one_service_is_stopped_by_its_third_searcher(self):
        self.assertTrue(self.claim("s0", 1))
        for mark in (1, 2):
            self.watch.on_ended("s0", mark)
            self.assertTrue(self.claim("s0", mark + 1))
        self.assertEqual(self.stopped, 0)
        self.watch.on_ended("s0", 3)
        self.assertEqual((self.stopped, self.closed), (1, [(1, 2, 3)]))

    def test_it_can_be_stopped_from_outside_unless_a_searcher_has_replied(self):
        self.first_sends()
        self.watch.stop()
        self.watch.stop()
        self.assertEqual(self.stopped, 1)
        self.begin()
        self.watch.on_replied("s0")
        self.watch.stop()
        self.assertEqual(self.stopped, 0)

    def test_hundreds_of_shards_that_wait_and_come_to_nothing_are_passed_over(self):
        for mark in range(2):
            self.watch.on_ended(f"s{mark}", mark)
        self.assertTrue(self.claim("first"))
        passed = []

        def come_to_nothing(service: str) -> None:
            if self.claim(service):
                passed.append(service)
                self.watch.on_over(service)

        for number in range(600):
            service = f"w{number}"
            self.watch.claim(service, 2, lambda service=service: come_to_nothing(service))
        self.watch.on_over("first")
        self.assertEqual(len(passed), 600)
