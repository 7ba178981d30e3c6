"""Requests to searchers that refuse: limits, progress, and the load of many entries."""

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.forward import (
    CallerRequest,
    Exchange,
    FailureReason,
    NotRun,
    Outcome,
    Replied,
)
from rhubarbhinge.forward.tests.simulated_links import SimulatedEntry, SlotSearcher
from rhubarbhinge.utils.fake_timers import FakeTimers

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("send",) * 6
            + ("connect",) * 4
            + ("reply", "reply", "refuse", "refuse", "close", "cancel", "cancel")
            + ("wait", "limit", "tidy")
        ),
        st.integers(0, 5),
    ),
    min_size=30,
    max_size=80,
)
WAITS_MS = (1.0, 15.0, 60.0, 900.0, 3_000.0, 5_000.0)


class Machine:
    """Applies drawn events to a pool and checks its invariants after each."""

    def __init__(self, test: unittest.TestCase):
        self.test = test
        self.timers = FakeTimers(0.0)
        self.entry = SimulatedEntry(self.timers, 4)
        self.attempts: dict[str, object] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.in_flight_before: list = []
        self.limit_grew = False

    def apply(self, step: str, value: int) -> None:
        links = self.entry.links
        if step in ("reply", "refuse") and links.requests or step == "close" and links.live:
            self.limit_grew = False
        if step == "send":
            name = f"r{len(self.attempts)}"
            deadline_ms = 2_000.0 if value == 0 else 1e6
            self.attempts[name] = self.entry.send(
                name, lambda outcome: self.outcomes.update({name: outcome}), deadline_ms
            )
        elif step == "connect" and links.opening:
            links.connect(links.opening[value % len(links.opening)])
        elif step in ("reply", "refuse") and links.requests:
            names = list(links.requests)
            links.answer(names[value % len(names)], step == "refuse")
        elif step == "close" and links.live:
            live = sorted(links.live)
            links.close(live[value % len(live)])
        elif step == "cancel" and self.unfinished:
            self.unfinished[value % len(self.unfinished)].cancel()
        elif step == "wait":
            self.timers.advance(WAITS_MS[value])
        elif step == "limit":
            self.limit_grew = self.limit_grew or value + 1 > self.entry.limit
            self.entry.limit = value + 1
        elif step == "tidy":
            self.entry.pool.close_idle()
        self.timers.advance(0.0)

    @property
    def unfinished(self) -> list:
        return [one for one in self.attempts.values() if not one.finished]

    def check(self) -> None:
        test, pool, now_ms = self.test, self.entry.pool, self.timers.now_ms()
        busy = [conn.pending for conn in pool._by_link.values() if conn.pending is not None]
        connections = pool._by_searcher.get(self.entry.observed.start)
        if connections is None:
            test.assertEqual(len(pool._by_link), 0)
            test.assertTrue(all(one.sent for one in self.unfinished))
            self.in_flight_before = []
            return
        test.assertEqual(connections.count, len(pool._by_link))
        test.assertEqual(connections.opening, len(self.entry.links.opening))
        test.assertEqual(connections.in_flight, len(busy))
        limit, window = self.entry.limit, self.entry.observed.send_window
        room = limit if window is None else window.size(limit, now_ms)
        if window is not None and any(one not in self.in_flight_before for one in busy):
            test.assertLessEqual(len(busy), room)
        self.in_flight_before = busy
        waiting = [one for one in connections.waiting if not one.finished]
        test.assertTrue(all(one in busy + waiting for one in self.unfinished if not one.sent))
        test.assertTrue(all(one in self.unfinished for one in busy + waiting))
        # A limit that grows is noticed with the next reply.
        if waiting and window is not None and len(busy) < room and not self.limit_grew:
            test.assertTrue(connections.count >= limit and not connections.idle)

    def finish(self) -> None:
        """Answer whatever is sent; every exchange must end without further help."""
        for _ in range(300):
            for link in list(self.entry.links.opening):
                self.entry.links.connect(link)
            for link in list(self.entry.links.requests):
                self.entry.links.answer(link)
            self.timers.advance(10.0)
        self.test.assertEqual(self.unfinished, [])


class PropertyTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch("rhubarbhinge.forward._window_events.log_event")
        self.logged = patch.start()
        self.addCleanup(patch.stop)

    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(STEPS)
    def test_every_exchange_ends_and_in_flight_stays_within_the_window(self, steps):
        """Guards against requests that wait for ever, and against sends beyond the window."""
        machine = Machine(self)
        for step, value in [("send", 1), ("connect", 0), ("refuse", 0), *steps]:
            machine.apply(step, value)
            machine.check()
        machine.finish()

    def test_a_request_after_all_connections_have_expired_is_counted(self):
        """Guards against connections beyond the limit after a pause without requests."""
        machine = Machine(self)
        for step, value in (("send", 1), ("connect", 0), ("reply", 0), ("wait", 5), ("send", 1)):
            machine.apply(step, value)
            machine.check()
        machine.finish()

    def test_what_waits_is_started_when_the_window_is_restored(self):
        """Guards against requests that wait behind one that is never answered."""
        machine = Machine(self)
        for step in ("send", "connect", "refuse", "send", "send", "send", "send"):
            machine.apply(step, 1)
        machine.apply("wait", 0)
        self.assertEqual(machine.entry.pool.waiting, 2)
        machine.apply("wait", 4)
        self.assertEqual(machine.entry.pool.waiting, 0)

    def test_reductions_are_logged_once_per_second(self):
        """Guards against a log that grows with the number of refusals."""
        machine = Machine(self)
        for _ in range(40):
            for step in ("send", "connect", "refuse"):
                machine.apply(step, 0)
            machine.entry.observed.send_window._size = 4.0
            machine.apply("wait", 2)
        self.assertEqual(self.logged.call_count, 3)


class LoadTest(unittest.TestCase):
    def burst(self, windows: bool) -> tuple[SlotSearcher, float]:
        """36 entries each send two requests at once, then 60 requests per second together.

        A refused request is sent again after 60 ms, as long as a searcher that refused is avoided.
        """
        timers, rng = FakeTimers(0.0), random.Random(1)
        searcher = SlotSearcher(timers, rng, slots=2, queue=4, work_ms=20.0)
        period_ms = 36 * 2 * 1_000.0 / 60.0

        def send(entry: SimulatedEntry) -> None:
            def ended(outcome: Outcome) -> None:
                if isinstance(outcome, NotRun):
                    timers.after(60.0, lambda: send(entry))
                else:
                    self.assertIsInstance(outcome, Replied)

            entry.send("r", ended)

        def send_pair(entry: SimulatedEntry) -> None:
            send(entry)
            send(entry)
            timers.after(period_ms * rng.uniform(0.5, 1.5), lambda: send_pair(entry))

        for _ in range(36):
            entry = SimulatedEntry(timers, limit=2)
            if not windows:
                entry.pool._adapt_window = lambda *args: None
            searcher.serve(entry)
            timers.after(rng.uniform(0.0, 20.0), lambda entry=entry: send_pair(entry))
        with mock.patch("rhubarbhinge.forward._window_events.log_event"):
            timers.advance(1_000.0)
        return searcher, searcher.busy_ms / 2_000.0

    def test_fewer_requests_of_many_entries_are_refused_while_the_slots_stay_busy(self):
        """Guards against entries that together keep sending a full searcher more than it queues."""
        plain, _ = self.burst(windows=False)
        searcher, busy = self.burst(windows=True)
        shares = [searcher.refused_share(at, at + 200.0) for at in range(0, 1_000, 200)]
        self.assertGreater(shares[0], 0.8)
        self.assertLess(max(shares[3:]), shares[0] / 2)
        self.assertLess(shares[3], plain.refused_share(600.0, 800.0) * 0.75)
        self.assertLess(len(searcher.arrivals), len(plain.arrivals))
        self.assertGreater(busy, 0.85)


class WaitingForwardedRequestTest(unittest.TestCase):
    """Guards against forwarded requests that are refused at their deadline only."""

    def check_refused_early(self, entry: SimulatedEntry, timers: FakeTimers) -> None:
        outcomes = []
        request = CallerRequest("forwarded", b"GET /x HTTP/1.1\r\n", b"", None)
        deadline_ms = timers.now_ms() + 500.0
        exchange = Exchange(
            entry.observed, request, deadline_ms, entry.delays, virtual_start_ms=timers.now_ms()
        )
        entry.pool.send(exchange, outcomes.append)
        for _ in range(50):
            timers.advance(10.0)
        self.assertEqual(outcomes, [NotRun(FailureReason.TOO_LATE)])

    def start(self, limit: int) -> tuple[SimulatedEntry, FakeTimers]:
        timers = FakeTimers(0.0)
        entry = SimulatedEntry(timers, limit)
        for _ in range(64):
            entry.delays.add(100.0)
        entry.send("first", lambda outcome: None, 1e6)
        entry.links.connect(entry.links.opening[0])
        return entry, timers

    def test_request_that_waits_for_the_send_window(self):
        entry, timers = self.start(limit=4)
        entry.observed.on_capacity(True, 2, 100.0, timers.now_ms())
        self.check_refused_early(entry, timers)

    def test_request_that_waits_behind_a_shard(self):
        entry, timers = self.start(limit=1)
        entry.send("shard", lambda outcome: None, 1e6)
        self.check_refused_early(entry, timers)
