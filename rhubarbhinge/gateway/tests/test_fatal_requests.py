"""A request that ends its searchers, sent again and again at any of five entries.

One invariant: later than 4 s after the third searcher has ended under it, at most three attempts of
its caller reach any searcher, as far as the entries that take them have run for 4 s unpaused.
Datagrams between entries are lost and late, entries are paused for up to seven seconds, searchers
come back after three seconds, and links between entries are cut and reset.
"""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.delegation import _delegates
from rhubarbhinge.gateway import _far_search
from rhubarbhinge.gateway.tests.simulated_attempts import SHARDS_AN_ENTRY
from rhubarbhinge.gateway.tests.simulated_fatal import FATAL, FatalWorld
from rhubarbhinge.quarantine import _quarantine

EXAMPLES = 40
SECONDS = 30
MOST_RETRIES = 3


class FatalRequestsTest(unittest.TestCase):
    def setUp(self):
        for module in (_delegates, _quarantine):
            silent = mock.patch.object(module, "log_event")
            silent.start()
            self.addCleanup(silent.stop)

    def play(self, seed: int, seconds: int = SECONDS) -> FatalWorld:
        with mock.patch.object(_far_search, "MOST_SHARDS", SHARDS_AN_ENTRY):
            world = FatalWorld(seed)
            world.play_fatal(seconds)
        return world

    @settings(derandomize=True, deadline=None, database=None, max_examples=EXAMPLES)
    @given(st.integers(0, 1 << 32))
    def test_few_attempts_reach_searchers_once_three_have_ended(self, seed):
        world = self.play(seed)
        self.assertLessEqual(len(world.late_attempts()), MOST_RETRIES)

    def test_no_other_request_is_quarantined_and_the_schedules_reach_all_of_it(self):
        worlds = [self.play(seed) for seed in range(12)]
        for world in worlds:
            for entry in world.entries.values():
                quarantined = {
                    one.fingerprint
                    for one in entry.quarantine.suspicions_to_send()
                    if one.quarantined
                }
                self.assertLessEqual(quarantined, {FATAL})
        self.assertTrue(any(len(world.searchers.ends_ms) >= 10 for world in worlds))
        self.assertTrue(any(world.troubles.pause for world in worlds))
        self.assertTrue(any(world.datagram_loss for world in worlds))
        self.assertTrue(any(sum(world.good) for world in worlds))
