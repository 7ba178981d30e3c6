"""Tests of event log lines."""

import io
import logging as standard_logging
import unittest
from enum import IntEnum
from unittest import mock

from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.telemetry import format_event, log_event, parse_event, setup_logging
from rhubarbhinge.telemetry._setup import LineFormatter


class FormatTest(unittest.TestCase):
    def test_value_formats(self):
        fields = {"upstream": "desk-01", "why": "a b", "age_ms": 1.5, "ok": True, "left": None}
        expected = 'event=drain upstream=desk-01 why="a b" age_ms=1.5 ok=true left=none'
        self.assertEqual(expected, format_event("drain", fields))

    def test_number_subclasses_are_plain(self):
        level = IntEnum("Level", {"HIGH": 3}).HIGH
        self.assertEqual("event=x a=3 b=0.5", format_event("x", {"a": level, "b": 0.5}))

    def test_reserved_names_get_underscore(self):
        self.assertEqual("event=x time_=3 node_=a", format_event("x", {"time": 3, "node": "a"}))

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.text(), st.text())
    def test_any_text_round_trips_on_one_line(self, first, second):
        line = format_event("x", {"first": first, "second": second})
        self.assertEqual(1, len(line.splitlines()))
        self.assertEqual({"event": "x", "first": first, "second": second}, parse_event(line))

    def test_invalid_lines_are_not_parsed(self):
        for line in (
            "event",
            'a="b',
            'a="b"c=d',
            'a="b\\',
            'a="\\u12"',
            'a="\\uzzzz"',
            'a="\\Uffffffff"',
        ):
            with self.subTest(line):
                self.assertIsNone(parse_event(line))


class LogTest(unittest.TestCase):
    def setUp(self):
        handler = logging.get_absl_handler()
        self.addCleanup(handler.setFormatter, handler.formatter)
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())

    def lines(self, level: str, act) -> list[str]:
        setup_logging(level, "kgn-a-1/entry")
        python_handler = logging.get_absl_handler().python_handler
        with mock.patch.object(python_handler, "stream", io.StringIO()) as stream:
            act()
            return stream.getvalue().splitlines()

    def test_line_has_time_level_and_node(self):
        found = self.lines("info", lambda: log_event("drain", name="a", age_ms=3))
        pattern = r"^time=\S+Z level=info node=kgn-a-1/entry event=drain name=a age_ms=3$"
        self.assertEqual(1, len(found))
        self.assertRegex(found[0], pattern)

    def test_events_below_level_are_suppressed(self):
        self.assertEqual([], self.lines("warning", lambda: log_event("drain")))
        found = self.lines("warning", lambda: log_event("drain", level="error"))
        self.assertRegex(found[0], "level=error node=kgn-a-1/entry event=drain$")
        with self.assertRaises(ValueError):
            setup_logging("loud", "n")

    def test_library_records_become_one_line(self):
        record = standard_logging.LogRecord("lib", 30, "f", 1, "a\nb", (), None)
        line = LineFormatter("n").format(record)
        self.assertTrue(line.endswith('event=log logger=lib message="a\\nb"'))
