"""Calls whose attempts are given up before it is known whether a searcher gets the request.

Guards against returned attempts that let more searchers execute a request than its route allows.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.fleet import Searcher
from rhubarbhinge.forward import FailureReason, GivenUp, Lost, NotRun, RequestTrace, ServiceCall
from rhubarbhinge.forward.tests.fakes import REQUEST, FakeWorld

OUTCOMES = (
    GivenUp(),
    NotRun(FailureReason.NO_ROOM),
    NotRun(FailureReason.UNREACHABLE),
    Lost(FailureReason.BROKEN),
)
STEPS = st.tuples(st.integers(-2, 5), st.sampled_from(OUTCOMES), st.floats(0.0, 40.0))


class GivenUpAttemptsTest(unittest.TestCase):
    def setUp(self):
        self.world = FakeWorld()
        for number in (3, 4):
            name = f"shard-{number}"
            self.world.fleet.put(Searcher(name, "shard", "10.0.0.1", 80, "hall-a", 2))
        self.results = []

    def start(self, prior: int = 0, **terms: object) -> ServiceCall:
        call = ServiceCall(
            self.world.context,
            REQUEST,
            "shard",
            self.world.terms(**terms),
            self.world.delays,
            lambda call, result: self.results.append(result),
            RequestTrace("r1", self.world.timers.now_ms),
            prior,
            prior,
        )
        call.start()
        return call

    def test_no_attempt_beyond_the_limit_is_sent_after_the_pause_of_a_refused_one(self):
        # Another attempt settles during the pause, and the next one is sent at once.
        self.start(max_attempts=3, hedge_ms=None)
        given_up, refused = self.world.attempts, NotRun(FailureReason.NO_ROOM)
        given_up[0].end(GivenUp())
        given_up[1].end(GivenUp())
        self.world.attempts[2].end(refused)
        self.world.attempts[3].end(refused)
        given_up[0].end(Lost(FailureReason.BROKEN))
        self.world.attempts[4].end(Lost(FailureReason.BROKEN))
        self.world.timers.advance(100.0)
        self.assertEqual((len(self.world.attempts), self.results), (5, []))

    @settings(derandomize=True, deadline=None, database=None, max_examples=120)
    @given(st.integers(1, 3), st.integers(0, 1), st.lists(STEPS, max_size=20))
    def test_attempts_that_may_run_never_exceed_the_limit(self, max_attempts, prior, steps):
        self.setUp()
        call = self.start(prior, max_attempts=max_attempts)
        counted, is_prior_open = prior, prior > 0
        given_up = set()
        for index, outcome, wait_ms in steps:
            open_attempts = [one for one in self.world.attempts if not one.ended]
            if index < 0 and is_prior_open:
                is_prior_open = False
                counted -= isinstance(outcome, NotRun)
                call.settle_prior(isinstance(outcome, NotRun))
            elif 0 <= index < len(open_attempts):
                attempt = open_attempts[index]
                if isinstance(outcome, GivenUp):
                    if attempt in given_up:
                        continue
                    given_up.add(attempt)
                else:
                    attempt.ended = True
                    counted -= isinstance(outcome, NotRun)
                attempt.end(outcome)
            self.world.timers.advance(wait_ms)
            self.assertLessEqual(len(self.world.attempts) + counted, max_attempts)
            self.assertLessEqual(len(self.results), 1)
