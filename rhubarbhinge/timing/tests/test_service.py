import unittest

from circuits import BaseComponent, handler
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.timing import TimerService


class FakeSleep(BaseComponent):
    """Stands in for the poller: passes the time asked for, and some more."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.late_ms = 0.0
        self.early_ms = None
        self.on_polled = lambda: None

    @handler("generate_events", priority=-9)
    def _on_sleep(self, event):
        event.stop()
        asked_ms = event.time_left * 1e3 if event.time_left >= 0 else 10_000.0
        if self.early_ms is not None:
            asked_ms = min(asked_ms, self.early_ms)
        self.now_ms += asked_ms + self.late_ms
        self.on_polled()


class TimerServiceTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        self.sleep = FakeSleep().register(self.root)
        self.timers = TimerService(clock=lambda: self.sleep.now_ms).register(self.root)
        self.root._running = True
        self.seen = []

    def ticks(self, count):
        for _ in range(count):
            self.root.tick()

    def note(self, name):
        return lambda: self.seen.append((name, self.timers.now_ms()))

    def test_due_timers_run_in_order_of_their_time(self):
        self.timers.after(30, self.note("c"))
        self.timers.after(10, self.note("a"))
        self.timers.after(20, self.note("b"))
        self.ticks(8)
        self.assertEqual(["a", "b", "c"], [name for name, _ in self.seen])
        self.assertEqual([10, 20, 30], [round(at_ms) for _, at_ms in self.seen])

    def test_a_period_repeats_until_cancelled_and_skips_what_was_missed(self):
        subscription = self.timers.every(100, self.note("p"))
        self.ticks(4)
        self.sleep.late_ms = 1000
        self.ticks(1)
        self.sleep.late_ms = 0
        self.ticks(2)
        times = [at_ms for _, at_ms in self.seen]
        self.assertEqual(len(set(times)), len(times))
        self.assertTrue(all(b - a >= 100 for a, b in zip(times, times[1:], strict=False)))
        subscription.cancel()
        count = len(self.seen)
        self.ticks(5)
        self.assertEqual(count, len(self.seen))

    def test_a_timer_cancelled_by_another_due_at_the_same_time_is_not_run(self):
        self.timers.after(10, lambda: second.cancel())
        second = self.timers.after(10, self.note("second"))
        self.ticks(6)
        self.assertEqual([], self.seen)

    def test_a_pause_is_told_before_any_due_timer(self):
        self.timers.on_pause(lambda late_ms: self.seen.append(("pause", late_ms)))
        self.timers.after(200, self.note("timer"))
        self.sleep.late_ms = 501
        self.ticks(3)
        self.assertEqual(["pause", "timer"], [name for name, _ in self.seen][:2])
        self.assertAlmostEqual(501, self.seen[0][1], places=3)

    def test_a_sleep_that_was_asked_for_is_no_pause(self):
        self.timers.on_pause(lambda late_ms: self.seen.append(("pause", late_ms)))
        self.timers.after(60_000, self.note("timer"))
        self.sleep.late_ms = 499
        self.ticks(200)
        self.assertEqual(["timer"], [name for name, _ in self.seen])

    def test_a_callback_that_takes_long_is_a_pause_too(self):
        def block():
            self.sleep.now_ms += 800

        self.timers.on_pause(lambda late_ms: self.seen.append(("pause", late_ms)))
        self.timers.after(10, block)
        self.ticks(4)
        self.assertEqual([("pause", 800)], self.seen)

    def test_what_came_during_a_pause_is_read_before_timers_that_became_due(self):
        """Guards against deadlines that end requests whose replies are there already."""

        def held_up_while_reading():
            self.timers.wake()
            self.sleep.now_ms += 800
            self.sleep.on_polled = self.note("polled")

        self.timers.after(300, self.note("deadline"))
        self.sleep.early_ms = 10
        self.sleep.on_polled = held_up_while_reading
        self.ticks(4)
        self.assertEqual(["polled", "deadline"], [name for name, _ in self.seen][:2])

    def test_a_loop_that_is_always_late_still_runs_its_timers(self):
        def held_up_while_reading():
            self.timers.wake()
            self.sleep.now_ms += 800

        self.timers.every(10, self.note("timer"))
        self.sleep.on_polled = held_up_while_reading
        self.ticks(9)
        self.assertGreaterEqual(len(self.seen), 4)

    def test_a_callback_that_raises_stops_the_process(self):
        self.timers.after(10, lambda: 1 / 0)
        with self.assertLogs("absl", "ERROR") as logs, self.assertRaises(SystemExit) as stop:
            self.ticks(5)
        self.assertEqual(70, stop.exception.code)
        self.assertIn("ZeroDivisionError", logs.output[0])

    @given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=300))
    @settings(derandomize=True, deadline=None, database=None, max_examples=30)
    def test_exactly_the_timers_not_cancelled_run_and_none_early(self, plan):
        self.setUp()
        wanted = []
        for index, (delay_ms, cancelled) in enumerate(plan):
            subscription = self.timers.after(delay_ms, self.note((index, delay_ms)))
            if cancelled:
                subscription.cancel()
                subscription.cancel()
            else:
                wanted.append(index)
        self.sleep.early_ms = 7
        self.ticks(20)
        self.assertEqual(wanted, sorted(index for (index, _), _ in self.seen))
        self.assertTrue(all(at_ms >= delay_ms for (_, delay_ms), at_ms in self.seen))
