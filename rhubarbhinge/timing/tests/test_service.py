import unittest

from circuits import BaseComponent, handler
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.timing import TimerService


class FakePoller(BaseComponent):
    """Replaces the poller: advances a fake clock by the requested wait and an optional delay."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.late_ms = 0.0
        self.max_wait_ms = None
        self.on_polled = lambda: None

    @handler("generate_events", priority=-9)
    def _on_poll(self, event):
        event.stop()
        wait_ms = event.time_left * 1e3 if event.time_left >= 0 else 10_000.0
        if self.max_wait_ms is not None:
            wait_ms = min(wait_ms, self.max_wait_ms)
        self.now_ms += wait_ms + self.late_ms
        self.on_polled()


class TimerServiceTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        self.poller = FakePoller().register(self.root)
        self.timers = TimerService(clock=lambda: self.poller.now_ms).register(self.root)
        self.root._running = True
        self.seen = []

    def run_iterations(self, count):
        for _ in range(count):
            self.root.tick()

    def recorder(self, name):
        return lambda: self.seen.append((name, self.timers.now_ms()))

    def test_due_timers_run_in_order(self):
        self.timers.after(30, self.recorder("c"))
        self.timers.after(10, self.recorder("a"))
        self.timers.after(20, self.recorder("b"))
        self.run_iterations(8)
        self.assertEqual(["a", "b", "c"], [name for name, _ in self.seen])
        self.assertEqual([10, 20, 30], [round(at_ms) for _, at_ms in self.seen])

    def test_periodic_timer_repeats_until_cancelled_and_skips_missed_periods(self):
        timer = self.timers.every(100, self.recorder("p"))
        self.run_iterations(4)
        self.poller.late_ms = 1000
        self.run_iterations(1)
        self.poller.late_ms = 0
        self.run_iterations(2)
        times = [at_ms for _, at_ms in self.seen]
        self.assertEqual(len(set(times)), len(times))
        self.assertTrue(all(b - a >= 100 for a, b in zip(times, times[1:], strict=False)))
        timer.cancel()
        count = len(self.seen)
        self.run_iterations(5)
        self.assertEqual(count, len(self.seen))

    def test_timer_cancelled_by_another_due_timer_does_not_run(self):
        self.timers.after(10, lambda: second.cancel())
        second = self.timers.after(10, self.recorder("second"))
        self.run_iterations(6)
        self.assertEqual([], self.seen)

    def test_pause_is_reported_before_due_timers(self):
        self.timers.on_pause(lambda late_ms: self.seen.append(("pause", late_ms)))
        self.timers.after(200, self.recorder("timer"))
        self.poller.late_ms = 501
        self.poller.on_polled = lambda: setattr(self.poller, "late_ms", 0)
        self.run_iterations(3)
        self.assertEqual(["pause", "timer"], [name for name, _ in self.seen][:2])
        self.assertAlmostEqual(501, self.seen[0][1], places=3)

    def test_requested_wait_is_not_a_pause(self):
        self.timers.on_pause(lambda late_ms: self.seen.append(("pause", late_ms)))
        self.timers.after(60_000, self.recorder("timer"))
        self.poller.late_ms = 499
        self.run_iterations(200)
        self.assertEqual(["timer"], [name for name, _ in self.seen])

    def test_slow_callback_is_a_pause(self):
        def block():
            self.poller.now_ms += 800

        self.timers.on_pause(lambda late_ms: self.seen.append(("pause", late_ms)))
        self.timers.after(10, block)
        self.run_iterations(4)
        self.assertEqual([("pause", 800)], self.seen)

    def test_data_received_during_pause_is_read_before_due_timers(self):
        """Otherwise deadlines would fail requests whose replies have already been received."""

        def stall_while_reading():
            self.timers.poll_returned()
            self.poller.now_ms += 800
            self.poller.on_polled = self.recorder("polled")

        self.timers.after(300, self.recorder("deadline"))
        self.poller.max_wait_ms = 10
        self.poller.on_polled = stall_while_reading
        self.run_iterations(4)
        self.assertEqual(["polled", "deadline"], [name for name, _ in self.seen][:2])

    # Guards against requests that fail, and states that seem fresh, after a process was stopped
    # while it polled: such a poll returns nothing, whatever has arrived.
    def test_data_is_read_before_due_timers_although_the_interrupted_poll_returned_nothing(self):
        def return_nothing():
            self.poller.late_ms = 0.0
            self.poller.on_polled = self.recorder("polled")

        self.timers.after(300, self.recorder("deadline"))
        self.poller.late_ms = 3_000.0
        self.poller.on_polled = return_nothing
        self.run_iterations(4)
        self.assertEqual(["polled", "deadline"], [name for name, _ in self.seen][:2])

    def test_loop_that_is_always_late_still_runs_timers(self):
        def stall_while_reading():
            self.timers.poll_returned()
            self.poller.now_ms += 800

        self.timers.every(10, self.recorder("timer"))
        self.poller.on_polled = stall_while_reading
        self.run_iterations(9)
        self.assertGreaterEqual(len(self.seen), 4)

    def test_exception_in_callback_stops_process(self):
        self.timers.after(10, lambda: 1 / 0)
        with self.assertLogs("absl", "ERROR") as logs, self.assertRaises(SystemExit) as stop:
            self.run_iterations(5)
        self.assertEqual(70, stop.exception.code)
        self.assertIn("ZeroDivisionError", logs.output[0])

    @given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=300))
    @settings(derandomize=True, deadline=None, database=None, max_examples=30)
    def test_exactly_the_active_timers_run_and_none_early(self, plan):
        self.setUp()
        wanted = []
        for index, (delay_ms, cancelled) in enumerate(plan):
            timer = self.timers.after(delay_ms, self.recorder((index, delay_ms)))
            if cancelled:
                timer.cancel()
                timer.cancel()
            else:
                wanted.append(index)
        self.poller.max_wait_ms = 7
        self.run_iterations(20)
        self.assertEqual(wanted, sorted(index for (index, _), _ in self.seen))
        self.assertTrue(all(at_ms >= delay_ms for (_, delay_ms), at_ms in self.seen))
