"""The contents of the operators' store."""

import unittest

from standins.operators import CompactedError, StoreModel


class StoreModelTest(unittest.TestCase):
    def test_pages_follow_the_keys(self):
        model = StoreModel()
        for key in ("b/2", "a/1", "b/1", "b/3"):
            model.put(key, 1)
        items, more = model.page("b/", "", 2)
        self.assertEqual(([item["key"] for item in items], more), (["b/1", "b/2"], True))
        items, more = model.page("b/", "b/2", 2)
        self.assertEqual(([item["key"] for item in items], more), (["b/3"], False))

    def test_changes_are_told_from_a_revision_until_they_are_forgotten(self):
        model = StoreModel()
        model.put("a", 1)
        model.put("b", 1)
        model.delete("a")
        told = [(event["key"], "tombstone" in event) for event in model.events("", 1)]
        self.assertEqual(told, [("b", False), ("a", True)])
        model.compact()
        with self.assertRaises(CompactedError):
            model.events("", 1)
        self.assertEqual(list(model.events("", 3)), [])
