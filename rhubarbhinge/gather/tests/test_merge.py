"""Tests for the merging of records."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhinge.gather import RECORD_BYTES, merge_greatest

RECORD = st.sampled_from([bytes([value]) * RECORD_BYTES for value in range(6)])
REST = st.binary(max_size=RECORD_BYTES - 1)


class MergeTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.lists(RECORD, max_size=8), REST), max_size=6), st.integers(1, 9))
    def test_duplicates_of_the_greatest_records_are_kept(self, parts, count):
        data = [b"".join(records) + rest for records, rest in parts]
        every = sorted((one for records, _ in parts for one in records), reverse=True)
        self.assertEqual(merge_greatest(data, count), b"".join(every[:count]))

    @given(st.lists(st.lists(RECORD, max_size=8), max_size=6), st.integers(1, 9))
    def test_merging_in_two_steps_gives_the_same_result(self, parts, count):
        data = [b"".join(records) for records in parts]
        halves = [merge_greatest(data[:3], count), merge_greatest(data[3:], count)]
        self.assertEqual(merge_greatest(halves, count), merge_greatest(data, count))
