"""At how many searchers of a shard a request runs, counted there, whoever sends it.

One invariant: an attempt begins when the bytes of a request are handed to a connection, by
whichever entry, and is taken back only when its searcher says of this very request that it has
not run it. At any time a request's attempts at one shard, those of all entries together, are no
more than its route allows. An entry that is asked has one attempt a shard; each further one is
counted by the entry that asks before it is sent, so that it stays counted when either is cut off.
"""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.delegation import _client
from rhubarbhinge.gateway import _far_search
from rhubarbhinge.gateway.tests.simulated_attempts import SHARDS_AN_ENTRY, World

EXAMPLES = 250


class AttemptsTest(unittest.TestCase):
    def setUp(self):
        # Thousands of links break; each would be a line.
        silent = mock.patch.object(_client, "log_event")
        silent.start()
        self.addCleanup(silent.stop)

    def play(self, seed: int) -> World:
        with mock.patch.object(_far_search, "MOST_SHARDS", SHARDS_AN_ENTRY):
            world = World(seed)
            world.play()
        return world

    @settings(derandomize=True, deadline=None, database=None, max_examples=EXAMPLES)
    @given(st.integers(0, 1 << 32))
    def test_no_more_searchers_of_a_shard_run_a_request_than_its_route_allows(self, seed):
        world = self.play(seed)
        self.assertLessEqual(world.most_searchers(), world.max_attempts)

    def test_the_schedules_reach_searchers_by_other_entries_and_all_attempts(self):
        worlds = [self.play(seed) for seed in range(40)]
        self.assertIn(3, {world.most_searchers() for world in worlds})
        self.assertTrue(any(world.network.servers["b-1"].conns for world in worlds))
        self.assertTrue(any(world.ends for world in worlds))
