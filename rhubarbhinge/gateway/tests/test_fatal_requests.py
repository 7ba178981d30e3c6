"""Tests for the quarantine of a request that ends its searchers and is repeated at five entries.

Guards against a fatal request that keeps ending searchers. From 4 s after the third searcher has
ended, at most three attempts of its caller may reach any searcher, not counting attempts at entries
that were started or paused within the last 4 s. Datagrams between entries are lost and delayed,
entries are paused for up to seven seconds, searchers restart after three seconds, and links between
entries are cut and reset.
"""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.delegation import _client
from rhubarbhinge.gateway import _shard_delegation
from rhubarbhinge.gateway.tests.simulated_attempts import SHARDS_PER_ENTRY
from rhubarbhinge.gateway.tests.simulated_fatal import FATAL, FatalRequestSimulation
from rhubarbhinge.quarantine import _quarantine

EXAMPLES = 40
SECONDS = 30
MAX_LATE_ATTEMPTS = 3


class FatalRequestsTest(unittest.TestCase):
    def setUp(self):
        for module in (_client, _quarantine):
            silenced = mock.patch.object(module, "log_event")
            silenced.start()
            self.addCleanup(silenced.stop)

    def simulate(self, seed: int, seconds: int = SECONDS) -> FatalRequestSimulation:
        with mock.patch.object(_shard_delegation, "MAX_SHARDS_PER_ENTRY", SHARDS_PER_ENTRY):
            simulation = FatalRequestSimulation(seed)
            simulation.run_fatal(seconds)
        return simulation

    @settings(derandomize=True, deadline=None, database=None, max_examples=EXAMPLES)
    @given(st.integers(0, 1 << 32))
    def test_few_attempts_reach_searchers_after_three_have_ended(self, seed):
        simulation = self.simulate(seed)
        self.assertLessEqual(len(simulation.late_attempts()), MAX_LATE_ATTEMPTS)

    def test_only_the_fatal_request_is_quarantined_in_varied_simulations(self):
        simulations = [self.simulate(seed) for seed in range(12)]
        for simulation in simulations:
            for entry in simulation.entries.values():
                quarantined = {
                    one.fingerprint
                    for one in entry.quarantine.suspicions_to_send()
                    if one.quarantined
                }
                self.assertLessEqual(quarantined, {FATAL})
        self.assertTrue(any(len(simulation.searchers.ends_ms) >= 10 for simulation in simulations))
        self.assertTrue(any(simulation.faults.pause for simulation in simulations))
        self.assertTrue(any(simulation.datagram_loss for simulation in simulations))
        self.assertTrue(any(sum(simulation.good_results) for simulation in simulations))
