"""Monitoring of a request: when its further attempts are deferred, and when it is stopped.

Scenario: a search over six shards, each sent to one searcher, all of which crash 8 ms after they
start executing it. For comparison, searches that lose a third of their searchers at once to another
cause; these must not be affected by the monitoring.
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

    def claim_first_attempts(self) -> None:
        for service in SHARDS:
            self.assertTrue(self.claim(service, 1))

    def test_a_search_that_crashes_all_its_searchers_gets_one_further_attempt(self):
        self.claim_first_attempts()
        sent = 0
        for mark, service in enumerate(SHARDS):
            self.watch.on_searcher_exited(service, mark)
            sent += self.claim(service)
        self.assertEqual((sent, self.granted, self.stopped), (1, [], 0))
        self.watch.on_searcher_exited("s0", 10)
        self.assertEqual(self.stopped, 1)
        self.assertEqual(len(self.closed[0]), len(SHARDS) + 1)
        self.assertFalse(self.claim("s1"))
        self.assertEqual(self.granted, [])

    def test_before_any_reply_few_shards_are_sent_to_another_searcher(self):
        """Guards against hedges of all shards that crash both searchers of each."""
        self.claim_first_attempts()
        sent = [service for service in SHARDS if self.claim(service)]
        self.assertEqual((sent, self.granted), (["s0", "s1"], []))
        self.watch.on_call_finished("s0")
        self.assertEqual(self.granted, ["s2", "s3", "s4", "s5"], "no call claimed its grant")
        self.watch.on_replied("s1")
        self.assertTrue(self.claim("s5"))

    def test_deferred_hedges_are_granted_at_the_first_reply(self):
        self.claim_first_attempts()
        for service in SHARDS:
            self.claim(service)
        self.watch.on_replied("s4")
        self.assertEqual(self.granted, ["s2", "s3", "s4", "s5"])

    def test_a_call_to_one_service_is_hedged_before_any_reply(self):
        self.assertTrue(self.claim("s0", 1))
        self.assertTrue(self.claim("s0", 2))
        self.assertTrue(self.claim("s0", 3))

    def test_a_reply_grants_all_deferred_attempts(self):
        self.claim_first_attempts()
        for mark in range(3):
            self.watch.on_searcher_exited(SHARDS[mark], mark)
            self.claim(SHARDS[mark])
        self.assertEqual(self.granted, [])
        self.watch.on_replied("s5")
        self.assertEqual((self.granted, self.cleared), (["s1", "s2"], 1))
        self.watch.on_searcher_exited("s0", 9)
        self.assertTrue(self.claim("s3"))
        self.watch.close()
        self.assertEqual((self.stopped, self.closed), (0, [()]))

    def test_no_attempt_is_deferred_after_a_reply(self):
        self.claim_first_attempts()
        self.watch.on_replied("s0")
        for mark, service in enumerate(SHARDS):
            self.watch.on_searcher_exited(service, mark)
            self.assertTrue(self.claim(service))

    def test_the_next_attempt_is_granted_when_a_call_finishes_unsent(self):
        for mark in range(3):
            self.watch.on_searcher_exited(SHARDS[mark], mark)
            self.claim(SHARDS[mark])
        self.assertTrue(self.claim("s0"), "further sends to a service count as one attempt")
        self.watch.on_call_finished("s0")
        self.assertEqual(self.granted, ["s1", "s2"], "neither call claimed its grant")

    def test_deferred_attempts_are_granted_one_at_a_time(self):
        for mark in range(3):
            self.watch.on_searcher_exited(SHARDS[mark], mark)
        granted = []
        for service in ("s0", "s1", "s2"):
            self.watch.claim(service, 2, lambda s=service: granted.append((s, self.claim(s))))
        self.watch.on_call_finished("s0")
        self.assertEqual(granted, [("s1", True)])
        self.watch.on_call_finished("s1")
        self.assertEqual(granted, [("s1", True), ("s2", True)])

    def test_a_single_crash_defers_nothing(self):
        self.claim_first_attempts()
        self.watch.on_searcher_exited("s0", 1)
        self.assertTrue(self.claim("s0"))
        self.assertTrue(self.claim("s1"))
        self.watch.close()
        self.assertEqual(self.closed, [(1,)])

    def test_a_trial_is_stopped_when_its_searcher_crashes(self):
        self.begin(one_first=True)
        self.assertTrue(self.claim("s0", 1))
        self.assertFalse(self.claim("s1", 1))
        self.watch.on_searcher_exited("s0", 1)
        self.assertEqual((self.stopped, self.closed), (1, [(1,)]))

    def test_a_trial_is_sent_to_all_searchers_after_a_reply(self):
        self.begin(one_first=True)
        self.assertTrue(self.claim("s0", 1))
        self.assertFalse(self.claim("s1", 1))
        self.watch.on_replied("s0")
        self.assertEqual(self.granted, ["s1"])
        self.assertTrue(self.claim("s2", 1))

    def test_an_unconfirmed_search_reports_two_crashes_at_most(self):
        self.claim_first_attempts()
        for mark, service in enumerate(SHARDS):
            self.watch.on_searcher_exited(service, mark)
        self.watch.close()
        self.assertEqual(len(self.closed[0]), 2)

    def test_a_call_to_one_service_is_stopped_by_its_third_crash(self):
        self.assertTrue(self.claim("s0", 1))
        for mark in (1, 2):
            self.watch.on_searcher_exited("s0", mark)
            self.assertTrue(self.claim("s0", mark + 1))
        self.assertEqual(self.stopped, 0)
        self.watch.on_searcher_exited("s0", 3)
        self.assertEqual((self.stopped, self.closed), (1, [(1, 2, 3)]))

    def test_stop_has_an_effect_only_before_a_reply(self):
        self.claim_first_attempts()
        self.watch.stop()
        self.watch.stop()
        self.assertEqual(self.stopped, 1)
        self.begin()
        self.watch.on_replied("s0")
        self.watch.stop()
        self.assertEqual(self.stopped, 0)

    def test_hundreds_of_deferred_calls_can_finish_unsent(self):
        for mark in range(2):
            self.watch.on_searcher_exited(f"s{mark}", mark)
        self.assertTrue(self.claim("first"))
        passed = []

        def finish_unsent(service: str) -> None:
            if self.claim(service):
                passed.append(service)
                self.watch.on_call_finished(service)

        for number in range(600):
            service = f"w{number}"
            self.watch.claim(service, 2, lambda service=service: finish_unsent(service))
        self.watch.on_call_finished("first")
        self.assertEqual(len(passed), 600)
