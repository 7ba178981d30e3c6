"""Tests for the number of searchers of a shard that execute a request, over all entries.

Guards against a request being executed more often than its route allows when the entries that share
its attempts are cut off from each other. An attempt begins when any entry hands the bytes of a
request to a connection. It is undone only if the searcher replies that it has not run this request.
At any time, the attempts of all entries at one shard must not exceed the limit of the route. An
entry to which a shard is delegated has one attempt; the delegating entry counts each further one
before it is sent, so that it remains counted if either entry is cut off.
"""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.delegation import _client
from rhubarbhinge.gateway import _shard_delegation
from rhubarbhinge.gateway.tests.simulated_attempts import SHARDS_PER_ENTRY, SearchSimulation

EXAMPLES = 250


class AttemptsTest(unittest.TestCase):
    def setUp(self):
        # Thousands of links break, each of which would be logged.
        silenced = mock.patch.object(_client, "log_event")
        silenced.start()
        self.addCleanup(silenced.stop)

    def simulate(self, seed: int) -> SearchSimulation:
        with mock.patch.object(_shard_delegation, "MAX_SHARDS_PER_ENTRY", SHARDS_PER_ENTRY):
            simulation = SearchSimulation(seed)
            simulation.run()
        return simulation

    @settings(derandomize=True, deadline=None, database=None, max_examples=EXAMPLES)
    @given(st.integers(0, 1 << 32))
    def test_attempts_per_shard_never_exceed_the_limit_of_the_route(self, seed):
        simulation = self.simulate(seed)
        self.assertLessEqual(simulation.max_searchers(), simulation.max_attempts)

    def test_simulations_cover_other_entries_and_all_attempts(self):
        simulations = [self.simulate(seed) for seed in range(40)]
        self.assertIn(3, {simulation.max_searchers() for simulation in simulations})
        self.assertTrue(any(simulation.network.servers["b-1"].conns for simulation in simulations))
        self.assertTrue(any(simulation.results for simulation in simulations))
