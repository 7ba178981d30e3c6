"""Tests of the rate-limited event log."""

import os
import unittest

from rhubarbhinge.telemetry import EventLog, log_event, parse_event, use_event_log
from rhubarbhinge.telemetry._event_log import BURST_BYTES, MAX_QUEUED_BYTES, RATE_BYTES_PER_S


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.log = EventLog("vm-1", self.write_fd, lambda: 1.5, lambda: self.now_s)
        self.addCleanup(self.close_write_fd)

    def close_write_fd(self) -> None:
        if self.write_fd >= 0:
            os.close(self.write_fd)
            self.write_fd = -1

    def lines(self) -> list[str]:
        self.log.flush()
        os.set_blocking(self.read_fd, False)
        try:
            return os.read(self.read_fd, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []

    def test_event_round_trips_as_one_line(self):
        self.log.write("info", "request-ended", {"request": "a b", "took_ms": 1.5})
        (line,) = self.lines()
        self.assertTrue(line.startswith("time=1970-01-01T00:00:01.500Z level=info node=vm-1 "))
        event = parse_event(line)
        self.assertEqual((event["event"], event["request"]), ("request-ended", "a b"))

    def test_stalled_reader_never_blocks(self):
        for _ in range(20):
            self.now_s += 3.0
            for _ in range(600):
                self.log.write("warning", "attempt-failed", {"detail": "x" * 200})
            self.log.flush()
        self.assertGreater(self.log.dropped, 0)
        self.assertLessEqual(self.log._queued_bytes, MAX_QUEUED_BYTES)

    def test_closed_reader_only_drops_lines(self):
        os.close(self.read_fd)
        self.read_fd = os.open(os.devnull, os.O_RDONLY)
        self.log.write("error", "bad-value", {})
        self.log.flush()
        self.assertEqual(self.log.dropped, 1)

    def test_rate_limit_drops_and_reports_lines(self):
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

    def test_warnings_have_a_reserved_budget(self):
        while not self.log.dropped:
            self.log.write("info", "request-ended", {"detail": "x" * 100})
        dropped = self.log.dropped
        self.log.write("warning", "attempt-failed", {})
        self.assertEqual(self.log.dropped, dropped)

    def test_budget_is_refilled_over_time(self):
        for _ in range(10_000):
            self.log.write("warning", "attempt-failed", {"detail": "x" * 100})
        dropped = self.log.dropped
        self.now_s += 0.5
        refill_bytes = RATE_BYTES_PER_S * 0.5
        for _ in range(int(refill_bytes / 400)):
            self.log.write("warning", "attempt-failed", {"detail": "x" * 100})
        self.assertEqual(self.log.dropped, dropped)

    def test_log_event_uses_event_log(self):
        use_event_log(self.log)
        self.addCleanup(use_event_log, None)
        log_event("plan-adopted", version=3)
        log_event("detail", level="debug")
        (line,) = self.lines()
        self.assertIn("event=plan-adopted version=3", line)
