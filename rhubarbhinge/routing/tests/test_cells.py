"""Cells are deterministic, balanced, and stable when a relay is lost."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.routing import CellTable, cells

PROFILE = settings(derandomize=True, deadline=None, database=None, max_examples=100)
SYSTEMS = {f"system-{number}": 64 for number in range(20)}
RELAYS = [f"vm-{number}/relay" for number in range(112)]


class CellsTest(unittest.TestCase):
    @PROFILE
    @given(
        st.dictionaries(st.text(min_size=1, max_size=5), st.integers(1, 200), max_size=12),
        st.lists(st.text(min_size=1, max_size=5), unique=True, max_size=30),
        st.randoms(use_true_random=False),
    )
    def test_cells_do_not_depend_on_argument_order(self, systems, relays, rng):
        names = list(systems)
        rng.shuffle(names)
        shuffled = rng.sample(relays, len(relays))
        found = cells(systems, relays)
        self.assertEqual(found, cells({name: systems[name] for name in names}, shuffled))
        for chosen in found.values():
            self.assertEqual(len(set(chosen)), len(chosen))
            self.assertTrue(set(chosen) <= set(relays))
            self.assertTrue(chosen or not relays)

    def test_relay_load_is_balanced(self):
        table = CellTable(SYSTEMS, RELAYS)
        load = Counter(
            table.owner(system, f"{system}-{index}")
            for system, count in SYSTEMS.items()
            for index in range(count)
        )
        self.assertEqual(set(load), set(RELAYS))
        self.assertLess(max(load.values()), 3 * sum(load.values()) / len(RELAYS))

    def test_a_systems_searchers_stay_on_few_relays(self):
        table = CellTable(SYSTEMS, RELAYS)
        used = {table.owner("system-3", f"system-3-{index}") for index in range(64)}
        self.assertLessEqual(len(used), 6)

    def test_losing_a_relay_changes_few_cells(self):
        before = cells(SYSTEMS, RELAYS)
        after = cells(SYSTEMS, RELAYS[1:])
        moved = sum(len(set(before[system]) - set(after[system])) for system in SYSTEMS)
        self.assertLessEqual(moved, 6)

    def test_small_domains_use_every_relay(self):
        self.assertEqual(set(cells({"a": 14}, ["x", "y"])["a"]), {"x", "y"})


if __name__ == "__main__":
    unittest.main()
