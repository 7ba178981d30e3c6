"""Tests of event log lines."""

import io
import logging as standard_logging
import unittest
from unittest import mock

from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.telemetry import format_event, log_event, setup_logging
from rhubarbhinge.telemetry._setup import LineFormatter


class FormatTest(unittest.TestCase):
    def test_values(self):
        fields = {"upstream": "desk-01", "why": "a b", "age_ms": 1.5, "ok": True, "left": None}
        wanted = 'event=drain upstream=desk-01 why="a b" age_ms=1.5 ok=true left=none'
        self.assertEqual(wanted, format_event("drain", fields))

    def test_reserved_names_get_an_underscore(self):
        self.assertEqual("event=x time_=3 node_=a", format_event("x", {"time": 3, "node": "a"}))

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.text(), st.text())
    def test_any_text_stays_on_one_line_and_reads_back(self, first, second):
        line = format_event("x", {"first": first, "second": second})
        self.assertEqual(1, len(line.splitlines()))
        self.assertEqual([first, second], _parse(line)[1:])


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

    def test_one_line_with_time_level_and_node(self):
        found = self.lines("info", lambda: log_event("drain", upstream="a", age_ms=3))
        pattern = r"^time=\S+Z level=info node=kgn-a-1/entry event=drain upstream=a age_ms=3$"
        self.assertEqual(1, len(found))
        self.assertRegex(found[0], pattern)

    def test_level_holds_back(self):
        self.assertEqual([], self.lines("warning", lambda: log_event("drain")))
        loud = self.lines("warning", lambda: log_event("drain", level="error"))
        self.assertRegex(loud[0], "level=error node=kgn-a-1/entry event=drain$")
        with self.assertRaises(ValueError):
            setup_logging("loud", "n")

    def test_records_of_libraries_become_one_line(self):
        record = standard_logging.LogRecord("lib", 30, "f", 1, "a\nb", (), None)
        line = LineFormatter("n").format(record)
        self.assertTrue(line.endswith('event=log logger=lib message="a\\nb"'))


def _parse(line: str) -> list[str]:
    values = []
    rest = line
    while rest:
        _, _, rest = rest.partition("=")
        value, rest = _quoted(rest[1:]) if rest.startswith('"') else _plain(rest)
        values.append(value)
    return values


def _plain(text: str) -> tuple[str, str]:
    value, _, rest = text.partition(" ")
    return value, rest


def _quoted(text: str) -> tuple[str, str]:
    end = 0
    while text[end] != '"':
        end += 2 if text[end] == "\\" else 1
    raw = text[:end]
    value = ""
    while raw:
        char, raw = _unescape(raw)
        value += char
    return value, text[end + 2 :]


def _unescape(raw: str) -> tuple[str, str]:
    if raw[0] != "\\":
        return raw[0], raw[1:]
    sizes = {"u": 4, "U": 8}
    if raw[1] in sizes:
        size = sizes[raw[1]]
        return chr(int(raw[2 : 2 + size], 16)), raw[2 + size :]
    return {"n": "\n", "r": "\r", "t": "\t"}.get(raw[1], raw[1]), raw[2:]
