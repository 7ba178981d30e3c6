"""Leaving out shards that can't keep up."""

import random
import unittest

from rhubarbhinge.gather import InTimeShares
from rhubarbhinge.plans import ShardSet

NAMES = tuple(f"s{place}" for place in range(30))
SHARDS = ShardSet(NAMES, 5, 0.89)


class InTimeTest(unittest.TestCase):
    def setUp(self):
        self.shares = InTimeShares(random.Random(3))

    def search(self, times: int, behind: tuple[str, ...]) -> None:
        for _ in range(times):
            self.shares.on_search(NAMES, (name for name in NAMES if name not in behind))

    def test_none_is_left_out_while_all_keep_up(self):
        self.search(20, ())
        self.search(2, NAMES[:7])
        self.assertEqual(self.shares.to_skip(SHARDS, NAMES), set())

    def test_different_ones_of_those_behind_are_left_out_with_a_reserve(self):
        self.search(20, NAMES[:7])
        skips = [self.shares.to_skip(SHARDS, NAMES) for _ in range(60)]
        self.assertEqual({len(skip) for skip in skips}, {2})
        self.assertEqual(set().union(*skips), set(NAMES[:7]))

    def test_shards_that_can_not_be_asked_use_up_the_reserve(self):
        self.search(20, NAMES[:7])
        self.assertEqual(len(self.shares.to_skip(SHARDS, NAMES[1:])), 1)
        self.assertEqual(self.shares.to_skip(SHARDS, NAMES[2:]), set())

    def test_no_more_than_a_tenth_is_left_out(self):
        self.search(20, NAMES[:9])
        self.assertEqual(len(self.shares.to_skip(ShardSet(NAMES, 5, 0.1), NAMES)), 3)

    def test_a_shard_that_keeps_up_again_is_asked_again(self):
        self.search(20, NAMES[:7])
        self.search(10, ())
        self.assertEqual(self.shares.to_skip(SHARDS, NAMES), set())
