import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.routing import OwnerTable, owners, rendezvous

NAMES = st.lists(st.text(min_size=1, max_size=6), unique=True, max_size=8)


class TestOwnership(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(st.one_of(st.integers(), st.text()), NAMES, st.integers(0, 9))
    def test_order_of_names_is_irrelevant_and_a_loss_moves_only_its_own_keys(
        self, key, names, count
    ):
        chosen = rendezvous(key, names, count)
        self.assertEqual(chosen, rendezvous(key, tuple(reversed(names)), count))
        self.assertEqual(len(chosen), min(count, len(names)))
        for lost in names:
            left = [name for name in names if name != lost]
            kept = tuple(name for name in chosen if name != lost)
            self.assertEqual(rendezvous(key, left, count)[: len(kept)], kept)

    def test_the_stand_by_becomes_the_owner(self):
        relays = [f"kgn-a-{number}/relay" for number in range(4)]
        owner, standby = owners("desk-01-a", relays)
        relays.remove(owner)
        self.assertEqual(owners("desk-01-a", relays)[0], standby)

    def test_with_too_few_relays_missing_owners_are_none(self):
        self.assertEqual(owners("x", ()), (None, None))
        self.assertEqual(owners("x", ("a",)), ("a", None))

    def test_searchers_are_spread_evenly(self):
        relays = [f"kgn-a-{number}/relay" for number in range(4)]
        table = OwnerTable(relays)
        counts = dict.fromkeys(relays, 0)
        for number in range(4000):
            counts[table.owners(f"desk-{number}")[0]] += 1
        self.assertLess(max(counts.values()), 1200)
        self.assertEqual(table.owners("desk-7"), owners("desk-7", relays))
        self.assertIs(table.owners("desk-7"), table.owners("desk-7"))


if __name__ == "__main__":
    unittest.main()
