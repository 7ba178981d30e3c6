"""Decisions of admission control of forwarded requests.

The figures are those of a deployment: 180 ms of work, six slots at each of four searchers, an
objective of 1.2 s and a deadline of 5 s.
"""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.admission import (
    CALLER_STEP_MS,
    MAX_AHEAD_MS,
    MAX_CALLER_STEPS,
    PRIORITY_STEP_MS,
    Accepted,
    QueuedRequest,
    Rejected,
    ReturnTimes,
    SearcherQueue,
    SendPace,
    ServiceTimes,
    decide,
    earliest_start_ms,
    unservable,
    virtual_start_ms,
)

TIMES = ServiceTimes(180.0, 180.0)
ON_TIME_MS, USEFUL_MS = 1_020.0, 4_890.0
FEW = settings(derandomize=True, deadline=None, database=None, max_examples=60)


def request(at_ms: float = 0.0, left_ms: float = USEFUL_MS, late: bool = False) -> QueuedRequest:
    on_time_until_ms = at_ms + min(left_ms, ON_TIME_MS)
    return QueuedRequest(at_ms, on_time_until_ms, at_ms + left_ms, late)


def queue(count: int, pace_per_ms: float = 0.0) -> SearcherQueue:
    return SearcherQueue((request(),) * count, 6, pace_per_ms)


class DecideTest(unittest.TestCase):
    def decide(self, one: QueuedRequest, queues: list[SearcherQueue], times=TIMES):
        return decide(one, queues, times, 0.0, lambda figures: 1.0)

    def test_burst_is_admitted_up_to_the_work_that_fits_the_deadline(self):
        # 27 rounds of 180 ms start within the 4,890 ms in which a start is useful: 28 x 6 requests
        # at each searcher.
        self.assertEqual(self.decide(request(), [queue(167)] * 4), Accepted())
        rejected = self.decide(request(), [queue(168)] * 4)
        self.assertIsInstance(rejected, Rejected)
        self.assertEqual(rejected.figures.waiting, 672)
        self.assertAlmostEqual(rejected.figures.drained_after_ms, 672 / 24 * 180.0)
        self.assertEqual(rejected.left_ms, USEFUL_MS)

    def test_caller_with_little_time_left_is_refused_at_once(self):
        # A repeated request with 300 ms left would wait for 3 rounds, past its deadline.
        self.assertIsInstance(self.decide(request(left_ms=192.0), [queue(18)] * 4), Rejected)
        self.assertEqual(self.decide(request(left_ms=192.0), [queue(11)] * 4), Accepted())

    def test_nothing_is_refused_on_too_little_knowledge(self):
        one, full = request(left_ms=1.0), queue(900)
        self.assertEqual(self.decide(one, [full], ServiceTimes(0.0, 180.0)), Accepted())
        self.assertEqual(self.decide(one, []), Accepted())
        self.assertEqual(self.decide(one, [full, queue(0)]), Accepted())

    def test_shortest_queue_and_fastest_pace_count(self):
        # A searcher that pauses has a long queue while the others serve; most requests may be
        # shorter than the lower quartile.
        self.assertEqual(self.decide(request(), [queue(900), queue(6)]), Accepted())
        self.assertEqual(self.decide(request(), [queue(168, 12 / 180.0)] * 4), Accepted())

    def test_requests_of_faster_routes_count_with_their_own_time(self):
        # Guards against a request of 180 ms refused behind many that take 10 ms each.
        ahead = (request(),) * 300
        fast, unknown = (SearcherQueue(ahead, 6, 0.0, lower) for lower in (10.0, 0.0))
        self.assertEqual(self.decide(request(), [fast]), Accepted())
        self.assertEqual(self.decide(request(), [unknown]), Accepted())

    def test_requests_that_are_late_first_do_not_block_one_that_is_on_time(self):
        # All that arrived before are behind this request at its last chance to be on time.
        ahead = SearcherQueue(tuple(request(-1.0 - at) for at in range(900)), 6)
        self.assertLessEqual(earliest_start_ms(request(), ahead, 180.0, 0.0), ON_TIME_MS)

    def test_late_requests_are_refused_once_their_turn_is_too_late(self):
        # Guards against callers that wait for their deadline behind a queue that takes longer.
        late = [request(-2_000.0 + place, late=True) for place in range(120)]
        found = unservable(late, 6, 180.0, 0.0)
        self.assertEqual(found, list(range(102, 120)))
        # 30 on-time requests are sent first, which takes 900 ms.
        self.assertEqual(unservable([*late, *[request()] * 30], 6, 180.0, 0.0)[0], 72)
        self.assertEqual(unservable([request()] * 900, 6, 180.0, 0.0), [])


class ReturnTimesTest(unittest.TestCase):
    @FEW
    @given(st.integers(1, 200), st.floats(0.001, 1.0), st.floats(0.0, 60_000.0), st.integers(0, 9))
    def test_return_times_are_spaced_by_the_send_rate(self, count, pace, drained_ms, seed):
        # Guards against refused callers that return together and are refused again.
        times = ReturnTimes(random.Random(seed))
        assigned = [times.assign(0.0, drained_ms, pace, 300.0) for _ in range(count)]
        self.assertGreaterEqual(assigned[0], min(MAX_AHEAD_MS / 2, max(300.0, drained_ms)))
        self.assertLessEqual(max(assigned), MAX_AHEAD_MS)
        spacing_ms = min(3_000.0, 1.0 / pace)
        before_repeating = assigned[: int(MAX_AHEAD_MS / 2 / spacing_ms) - 1]
        for first, second in zip(before_repeating, before_repeating[1:], strict=False):
            self.assertGreaterEqual(second - first, 0.59 * spacing_ms)

    def test_return_times_follow_the_clock(self):
        times = ReturnTimes(random.Random(1))
        times.assign(0.0, 0.0, 0.1, 300.0)
        self.assertLess(times.assign(5_000.0, 0.0, 0.1, 300.0), 310.0)


class QueueOrderTest(unittest.TestCase):
    def test_delay_in_the_queue_is_bounded(self):
        # Callers behind one address translation must not be overtaken until they are too late.
        most_ms = virtual_start_ms(0.0, 2, 10_000)
        self.assertEqual(most_ms, 2 * PRIORITY_STEP_MS + MAX_CALLER_STEPS * CALLER_STEP_MS)
        self.assertLess(most_ms, USEFUL_MS)

    def test_pace_is_unknown_without_recent_sends(self):
        pace = SendPace()
        for place in range(20):
            self.assertEqual(pace.per_ms(10.0 * place) > 0.0, place >= 8)
            pace.on_sent(10.0 * place)
        self.assertAlmostEqual(pace.per_ms(200.0), 0.1)
        self.assertEqual(pace.per_ms(5_000.0), 0.0)
