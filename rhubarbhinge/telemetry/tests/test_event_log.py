"""The bounded log of events."""

import os
import unittest

from rhubarbhinge.telemetry import EventLog, log_event, parse_event, use_event_log
from rhubarbhinge.telemetry._event_log import BURST_BYTES, RATE_BYTES_PER_S, WAITING_BYTES


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.log = EventLog("vm-1", self.writing, lambda: 1.5, lambda: self.now_s)
        self.addCleanup(self.close_writing)

    def close_writing(self) -> None:
        if self.writing >= 0:
            os.close(self.writing)
            self.writing = -1

    def lines(self) -> list[str]:
        self.log.flush()
        os.set_blocking(self.reading, False)
        try:
            return os.read(self.reading, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []

    def test_an_event_is_one_line_that_reads_back(self):
        self.log.write("info", "request-ended", {"request": "a b", "took_ms": 1.5})
        (line,) = self.lines()
        self.assertTrue(line.startswith("time=1970-01-01T00:00:01.500Z level=info node=vm-1 "))
        event = parse_event(line)
        self.assertEqual((event["event"], event["request"]), ("request-ended", "a b"))

    def test_nothing_waits_for_a_reader_that_does_not_read(self):
        for _ in range(20):
            self.now_s += 3.0
            for _ in range(600):
                self.log.write("warning", "attempt-failed", {"detail": "x" * 200})
            self.log.flush()
        self.assertGreater(self.log.dropped, 0)
        self.assertLessEqual(self.log._waiting_bytes, WAITING_BYTES)

    def test_a_reader_that_has_gone_costs_lines_only(self):
        os.close(self.reading)
        self.reading = os.open(os.devnull, os.O_RDONLY)
        self.log.write("error", "bad-value", {})
        self.log.flush()
        self.assertEqual(self.log.dropped, 1)

    def test_the_volume_is_bounded_and_the_drops_are_told(self):
        written = 0
        for _ in range(10_000):
            self.log.write("info", "request-ended", {"detail": "x" * 100})
        written += sum(len(line) + 1 for line in self.lines())
        self.assertLessEqual(written, BURST_BYTES)
        self.assertGreater(self.log.dropped, 0)
        self.now_s += 1.0
        self.log.write("info", "request-ended", {})
        text = "\n".join(self.lines())
        while more := self.lines():
            text += "\n".join(more)
        self.assertIn("event=events-dropped", text)

    def test_warnings_have_a_part_of_the_budget_of_their_own(self):
        while not self.log.dropped:
            self.log.write("info", "request-ended", {"detail": "x" * 100})
        dropped = self.log.dropped
        self.log.write("warning", "attempt-failed", {})
        self.assertEqual(self.log.dropped, dropped)

    def test_the_budget_grows_with_time(self):
        for _ in range(10_000):
            self.log.write("warning", "attempt-failed", {"detail": "x" * 100})
        dropped = self.log.dropped
        self.now_s += 0.5
        room = RATE_BYTES_PER_S * 0.5
        for _ in range(int(room / 400)):
            self.log.write("warning", "attempt-failed", {"detail": "x" * 100})
        self.assertEqual(self.log.dropped, dropped)

    def test_events_of_the_program_go_to_it(self):
        use_event_log(self.log)
        self.addCleanup(use_event_log, None)
        log_event("plan-adopted", version=3)
        log_event("detail", level="debug")
        (line,) = self.lines()
        self.assertIn("event=plan-adopted version=3", line)
