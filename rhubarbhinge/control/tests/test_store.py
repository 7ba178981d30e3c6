"""The store's order of documents, and its refusals."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.control import PLATFORM, Adopted, ConfigStore, Ignored, Refused
from rhubarbhinge.control.tests.schedule import validate

offers = st.lists(st.tuples(st.integers(1, 4), st.sampled_from([b"{a}", b"{b}", b"bad"])))


class ConfigStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = ConfigStore(validate)

    def offer(self, revision: int, data: bytes, source: str = "peer"):
        return self.store.offer("rules", revision, data, source, 7)

    @settings(derandomize=True, deadline=None, database=None)
    @given(offers, st.randoms(use_true_random=False))
    def test_stores_agree_whatever_the_order(self, documents, rng):
        shuffled = documents * 2
        rng.shuffle(shuffled)
        one, other = ConfigStore(validate), ConfigStore(validate)
        for store, order in ((one, documents), (other, shuffled)):
            for revision, data in order:
                before = store.position("rules")
                store.offer("rules", revision, data, "peer", 0)
                self.assertGreaterEqual(store.position("rules"), before)
        self.assertEqual(one.position("rules"), other.position("rules"))

    def test_a_lower_revision_is_ignored(self):
        self.assertIsInstance(self.offer(5, b"{}"), Adopted)
        self.assertEqual(self.offer(4, b"{4}"), Ignored("rules", 4))
        self.assertEqual(self.store.accepted("rules").adopted_ms, 7)

    def test_a_refusal_is_told_once_and_not_fetched_again(self):
        self.assertEqual(self.offer(5, b"bad"), Refused("rules", 5, ("it is bad",)))
        self.assertEqual(self.offer(5, b"bad"), Ignored("rules", 5))
        self.assertFalse(self.store.wants("rules", 5, 0))
        self.assertTrue(self.store.wants("rules", 6, 0))

    def test_only_the_platforms_refused_revisions_are_passed_over(self):
        self.offer(9, b"bad")
        self.assertEqual(self.store.passed_revision("rules"), 0)
        self.offer(9, b"bad", PLATFORM)
        self.assertEqual(self.store.passed_revision("rules"), 9)

    def test_content_published_twice_under_one_revision_is_reported(self):
        outcomes = [self.offer(5, b"{a}"), self.offer(5, b"{b}")]
        self.assertIn("published twice", outcomes[1].faults[0])

    def test_refusals_kept_are_bounded(self):
        for revision in range(1, 200):
            self.offer(revision, b"bad")
        self.assertLessEqual(len(self.store._refused), 64)


class AgesTest(unittest.TestCase):
    def test_ages_tell_what_is_in_force_and_what_was_refused(self):
        store = ConfigStore(validate)
        store.offer("rules", 2, b"{}", PLATFORM, 100)
        store.offer("rules", 3, b"bad", PLATFORM, 200)
        register, rules, _ = store.ages(50, 400)
        self.assertEqual((register.revision, rules.revision, rules.in_force_ms), (0, 2, 300))
        self.assertEqual((rules.platform_age_ms, rules.last_refused.revision), (50, 3))
