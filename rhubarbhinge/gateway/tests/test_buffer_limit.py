"""Tests of the limit of bytes buffered for slow readers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.gateway._buffer_limit import (
    DEFAULT_LIMIT_BYTES,
    MAX_PAUSE_MS,
    MIN_READING_MS,
    STALLED_MS,
    BufferLimit,
    Reader,
)

VM_BYTES = 152_000_000
LIMIT_BYTES = VM_BYTES // 8
ANSWER_BYTES = 18_000
CHECK_MS = 250.0
DRAWN = settings(derandomize=True, deadline=None, database=None, max_examples=60, print_blob=False)


def readers(sizes_and_times: list[tuple[int, float]]) -> list[Reader]:
    return [
        Reader(("responses", 0, number), size, quiet_ms)
        for number, (size, quiet_ms) in enumerate(sizes_and_times)
    ]


def limit_with(used_bytes: int, memory_bytes: int = VM_BYTES) -> BufferLimit:
    limit = BufferLimit(memory_bytes)
    limit.update({"responses": used_bytes}, 0.0)
    return limit


class BufferLimitTest(unittest.TestCase):
    def test_limit_is_an_eighth_of_the_memory(self):
        """Guards against a VM of 152 MB that buffers as much as one of 552 MB."""
        self.assertEqual(limit_with(0).limit_bytes, LIMIT_BYTES)
        self.assertEqual(limit_with(0, 0).limit_bytes, DEFAULT_LIMIT_BYTES)

    def test_callers_that_do_not_read_are_closed_and_readers_kept(self):
        """Guards against callers that read losing their answers to 500 that don't.

        500 callers repeat requests without reading; 200 others take their answers within some round
        trips. The closed ones are those that took nothing for 1 s, and only as many as needed.
        """
        stuck = [(3 * ANSWER_BYTES, 2_000.0 + number) for number in range(500)]
        reading = [(2 * ANSWER_BYTES, 40.0)] * 200
        unread = readers(stuck + reading)
        used_bytes = sum(reader.unread_bytes for reader in unread)
        limit = limit_with(used_bytes)
        closed = limit.readers_to_close(unread)
        self.assertTrue(limit.refuses_requests)
        self.assertTrue(all(reader.key[2] < 500 for reader in closed))
        freed_bytes = sum(reader.unread_bytes for reader in closed)
        self.assertTrue(0 <= LIMIT_BYTES - (used_bytes - freed_bytes) < 3 * ANSWER_BYTES)

    def test_500_unread_answers_alone_neither_pause_nor_close(self):
        """Guards against closing callers though their answers fit: 9 MB of 19 MB."""
        limit = limit_with(500 * ANSWER_BYTES)
        self.assertFalse(limit.pauses_reading or limit.refuses_requests)
        self.assertEqual(limit.readers_to_close(readers([(ANSWER_BYTES, 50_000.0)] * 500)), [])

    def test_longest_without_reading_is_closed_if_none_is_stalled(self):
        """Guards against a limit that is exceeded as long as all readers take a little."""
        unread = readers([(2_000_000, 10.0), (1_000_000, 300.0), (5_000_000, 100.0)])
        closed = limit_with(LIMIT_BYTES + 1_500_000).readers_to_close(unread)
        self.assertEqual([reader.key[2] for reader in closed], [1, 2])

    def test_pauses_have_hysteresis(self):
        """Guards against a pause that starts and ends with each response."""
        limit = limit_with(LIMIT_BYTES // 2 + 1)
        self.assertTrue(limit.pauses_reading)
        limit.update({"replies": LIMIT_BYTES // 2 - 1}, CHECK_MS)
        self.assertTrue(limit.pauses_reading)
        limit.update({"replies": LIMIT_BYTES * 3 // 8 - 1}, 2 * CHECK_MS)
        self.assertFalse(limit.pauses_reading)

    def test_pause_ends_while_slow_readers_hold_over_half(self):
        """Guards against searchers that close connections, as nothing is read while callers hold
        more than half of the limit for their idle timeout."""
        limit = BufferLimit(VM_BYTES)
        paused = []
        for number in range(240):
            limit.update({"responses": LIMIT_BYTES * 3 // 4}, number * CHECK_MS)
            paused.append(limit.pauses_reading)
        period = int(MAX_PAUSE_MS / CHECK_MS), int(MIN_READING_MS / CHECK_MS)
        self.assertEqual(paused[: sum(period)], [True] * period[0] + [False] * period[1])
        self.assertEqual(paused.count(True), 120)

    @DRAWN
    @given(
        st.lists(st.tuples(st.integers(1, 3_000_000), st.floats(0.0, 5_000.0)), max_size=40),
        st.integers(0, 4_000_000),
    )
    def test_closing_brings_usage_within_the_limit(self, drawn, other_bytes):
        """Guards against usage over the limit after a check, and against needless closes."""
        unread = readers(drawn)
        used_bytes = sum(reader.unread_bytes for reader in unread) + other_bytes
        limit = limit_with(used_bytes)
        closed = limit.readers_to_close(unread)
        left_bytes = used_bytes - sum(reader.unread_bytes for reader in closed)
        self.assertLessEqual(left_bytes, LIMIT_BYTES)
        self.assertEqual(bool(closed), used_bytes > LIMIT_BYTES)
        if closed:
            self.assertGreater(left_bytes + closed[-1].unread_bytes, LIMIT_BYTES)
        if any(reader.quiet_ms < STALLED_MS for reader in closed):
            kept = [reader for reader in unread if reader not in closed]
            self.assertTrue(all(reader.quiet_ms < STALLED_MS for reader in kept))
