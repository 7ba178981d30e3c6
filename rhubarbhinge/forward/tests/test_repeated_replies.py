"""Searchers that send a reply twice, the second time late, while refused requests are retried."""

import random
import unittest
from collections import Counter

from rhubarbhinge.fleet import expected_cost
from rhubarbhinge.forward import (
    CallContext,
    CallerRequest,
    CallTerms,
    Refused,
    RequestTrace,
    ServiceCall,
)
from rhubarbhinge.forward.tests.scripted import reply
from rhubarbhinge.forward.tests.simulated_links import CROSSING_MS, SimulatedEntry
from rhubarbhinge.retries import BudgetRule, RetryBudget
from rhubarbhinge.telemetry import Metrics
from rhubarbhinge.utils.fake_timers import FakeTimers

REQUESTS = 25


class RepeatingSearcher:
    """Refuses some requests, and repeats some of its replies.

    :ivar runs: how often each request was executed.
    """

    def __init__(self, timers: FakeTimers, entry: SimulatedEntry, rng: random.Random):
        self._timers, self._links, self._rng = timers, entry.links, rng
        self.runs: Counter[str] = Counter()
        links, after = entry.links, timers.after
        links.on_connect = lambda link: after(CROSSING_MS, lambda: links.connect(link))
        links.on_send = lambda link, name: after(CROSSING_MS, lambda: self._arrived(link, name))

    def _arrived(self, link: int, name: str) -> None:
        if link not in self._links.live:
            return
        if self._rng.random() < 0.6:
            answer = reply(name, b"", "503 Full", "not-run: 1\r\n")
            work_ms = 0.0
        else:
            self.runs[name] += 1
            answer = reply(name)
            work_ms = self._rng.uniform(5.0, 60.0)
        self._timers.after(work_ms + CROSSING_MS, lambda: self._deliver(link, answer))
        if self._rng.random() < 0.5:
            late_ms = work_ms + self._rng.uniform(1.0, 60.0)
            self._timers.after(late_ms + CROSSING_MS, lambda: self._deliver(link, answer))

    def _deliver(self, link: int, answer: bytes) -> None:
        if link in self._links.live:
            self._links.on_data(link, answer)


class RepeatedRepliesTest(unittest.TestCase):
    # The repeated refusal of a first attempt was taken for the reply to the second, which ran.
    def test_no_request_runs_twice_or_is_refused_though_it_ran(self):
        for seed in range(150):
            with self.subTest(seed):
                self.check(random.Random(seed))

    def check(self, rng: random.Random) -> None:
        timers = FakeTimers()
        entry = SimulatedEntry(timers, limit=rng.randint(1, 4))
        searcher = RepeatingSearcher(timers, entry, rng)
        budget = RetryBudget(BudgetRule(0.0, 1_000.0, 10_000.0), timers.now_ms, lambda: 1)
        cost_function = expected_cost("hall-a", random.Random(1))
        context = CallContext(
            timers, entry.fleet, cost_function, budget, entry.pool.send, Metrics()
        )
        results = {}
        for number in range(REQUESTS):
            request = CallerRequest(f"r{number}", b"POST /x HTTP/1.1\r\n", b"", None)
            terms = CallTerms(
                route_name="route",
                idempotent=False,
                max_attempts=3,
                hedge_ms=None,
                retry_until_ms=timers.now_ms() + 1_000.0,
                deadline_ms=timers.now_ms() + 2_000.0,
            )
            ServiceCall(
                context,
                request,
                "shard",
                terms,
                entry.delays,
                lambda call, result, name=request.id: results.setdefault(name, result),
                RequestTrace(request.id, timers.now_ms),
            ).start()
            timers.advance(rng.uniform(0.0, 30.0))
        timers.advance(5_000.0)
        self.assertEqual(REQUESTS, len(results))
        self.assertLessEqual(max(searcher.runs.values()), 1)
        refused = [name for name, result in results.items() if isinstance(result, Refused)]
        self.assertEqual([], [name for name in refused if searcher.runs[name]])


if __name__ == "__main__":
    unittest.main()
