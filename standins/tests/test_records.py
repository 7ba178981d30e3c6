"""Records are pure functions that agree however a range is split."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from standins import records

KEYS = st.integers(0, records.KEY_SPACE)
SETTINGS = settings(derandomize=True, deadline=None, database=None, max_examples=50)


class RecordsTest(unittest.TestCase):
    def test_count_agrees_with_exists(self):
        wanted = sum(records.exists("overhauls", 41, key) for key in range(100, 900))
        self.assertEqual(records.record_count("overhauls", 41, 100, 900), wanted)

    def test_versions_hold_different_records(self):
        held = [
            {key for key in range(500) if records.exists("overhauls", version, key)}
            for version in (41, 42)
        ]
        self.assertNotEqual(held[0], held[1])

    def test_ids_contain_the_version(self):
        found = records.hits("overhauls", 42, 0, 8192, "bearing", 10)
        self.assertEqual(len(found), 10)
        self.assertTrue(all(hit["id"].startswith("overhauls.42.") for hit in found))

    @SETTINGS
    @given(cuts=st.tuples(KEYS, KEYS, KEYS).map(sorted), limit=st.integers(0, 40))
    def test_best_of_the_parts_is_the_best_of_the_whole(self, cuts, limit):
        lo, middle, hi = cuts
        parts = [
            *records.hits("overhauls", 41, lo, middle, "seal", limit),
            *records.hits("overhauls", 41, middle, hi, "seal", limit),
        ]
        parts.sort(key=lambda hit: (-hit["score"], hit["id"]))
        whole = records.hits("overhauls", 41, lo, hi, "seal", limit)
        self.assertEqual(tuple(parts[:limit]), whole)
        count = records.record_count("overhauls", 41, lo, middle)
        count += records.record_count("overhauls", 41, middle, hi)
        self.assertEqual(records.record_count("overhauls", 41, lo, hi), count)
