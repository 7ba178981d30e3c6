"""Searches while relays are held up for a moment and searchers leave, on real processes."""

import time

from standins.deployment import BY_DOMAIN, Size
from standins.tests._checks import search_violations
from standins.tests._live import LiveCase

_DEADLINE_MS = 5_000
#: Far above the pause that a relay notices, far below half of the deadline.
_HELD_UP_S = 1.0
_ROUNDS = 5
_BETWEEN_S = 0.7
_SEARCHED = ("overhauls", "outage-schedules", "spare-part-histories")
_DRAINED_DOMAIN = "kgn-b"
_HELD_UP_DOMAIN = "kgn-c"


class LiveHeldUpRelaysTest(LiveCase):
    size = Size(scale=0.05, vms_per_domain=2, searcher_processes=BY_DOMAIN)

    @staticmethod
    def change(register, rules):
        for each in rules["classes"]:
            each.update(deadline_ms=_DEADLINE_MS, least_coverage=0.0)

    def test_relays_of_a_domain_held_up_while_searchers_leave(self):
        """Guards against ranges that are given up while their relay is about to be linked again."""
        leaving = sorted(self.searchers_in(_DRAINED_DOMAIN))
        self.addCleanup(self._come_back, leaving)
        relays = [vm.nodes["relay"] for vm in self.live.vms if vm.failure_domain == _HELD_UP_DOMAIN]
        for relay in relays:
            self.addCleanup(relay.thaw)
        with self.callers.load(self.live.vms, _SEARCHED):
            self.set_knobs(leaving, health_state="draining")
            time.sleep(_BETWEEN_S)
            for _ in range(_ROUNDS):
                for relay in relays:
                    relay.freeze()
                time.sleep(_HELD_UP_S)
                for relay in relays:
                    relay.thaw()
                time.sleep(_BETWEEN_S)
        self.assertEqual(search_violations(self.callers.events), [])
        thin = [each for each in self.callers.answered() if _is_thin(each)]
        self.assertEqual(thin, [])

    def _come_back(self, names):
        for name in names:
            self.live.searcher(name, {"restart": True})
        self.live.wait_serving()


def _is_thin(answered):
    return not answered["whole"] or answered["body"]["coverage"]["fraction"] < 1.0


if __name__ == "__main__":
    import unittest

    unittest.main()
