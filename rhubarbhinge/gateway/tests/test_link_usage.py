"""Tests for the logging of high link usage."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from rhubarbhinge.gateway import _link_usage
from rhubarbhinge.gateway._link_usage import LinkUsage

PERIOD_MS = 250.0
LINK_BITS_PER_MS = 8_400.0


class LinkUsageTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        self.sent = {"callers": 0, "state": 0}
        self.link_bits_per_ms = LINK_BITS_PER_MS
        counts = {kind: lambda kind=kind: self.sent[kind] for kind in self.sent}
        self.usage = LinkUsage(counts, lambda: self.link_bits_per_ms, lambda: self.now_ms)

    @contextmanager
    def period(self, callers: int, state: int) -> Iterator[list]:
        self.sent["callers"] += callers
        self.sent["state"] += state
        self.now_ms += PERIOD_MS
        with mock.patch.object(_link_usage, "log_event") as log_event:
            self.usage.close_period()
        yield log_event.mock_calls

    def test_busy_period_is_logged_with_bytes_by_kind(self):
        with self.period(2_000, 200_000) as calls:
            expected = mock.call(
                "link-busy", period_ms=250, callers_bytes=2_000, state_bytes=200_000
            )
            self.assertEqual(calls, [expected])

    def test_calm_period_after_a_busy_one_is_not_logged(self):
        with self.period(2_000, 200_000):
            pass
        with self.period(2_000, 10_000) as calls:
            self.assertEqual(calls, [])

    def test_nothing_is_logged_if_the_link_rate_is_unknown(self):
        self.link_bits_per_ms = 0.0
        with self.period(2_000, 200_000) as calls:
            self.assertEqual(calls, [])
