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

from rhubarbhinge.delegation import _delegates
from rhubarbhinge.gateway import _shard_delegation
from rhubarbhinge.gateway.tests.simulated_attempts import SHARDS_PER_ENTRY, SearchSimulation

EXAMPLES = 250


class AttemptsTest(unittest.TestCase):
    def setUp(self):
        # Thousands of links break; each would be a line.
        silenced = mock.patch.object(_delegates, "log_event")
        silenced.start()
        self.addCleanup(silenced.stop)

    def simulate(self, seed: int) -> SearchSimulation:
        with mock.patch.object(_shard_delegation, "MAX_SHARDS_PER_ENTRY", SHARDS_PER_ENTRY):
            simulation = SearchSimulation(seed)
            simulation.run()
        return simulation

    @settings(derandomize=True, deadline=None, database=None, max_examples=EXAMPLES)
    @given(st.integers(0, 1 << 32))
    def test_no_more_searchers_of_a_shard_run_a_request_than_its_route_allows(self, seed):
        simulation = self.simulate(seed)
        self.assertLessEqual(simulation.max_searchers(), simulation.max_attempts)

    def test_the_schedules_reach_searchers_by_other_entries_and_all_attempts(self):
        worlds = [self.simulate(seed) for seed in range(40)]
        self.assertIn(3, {simulation.max_searchers() for simulation in worlds})
        self.assertTrue(any(simulation.network.servers["b-1"].conns for simulation in worlds))
        self.assertTrue(any(simulation.results for simulation in worlds))
