"""A short run of the soak with a seed whose faults are of most kinds."""

import unittest

from tools.soak._plan import draw_faults
from tools.soak._report import text
from tools.soak._run import play

SEED, SECONDS, ENTRIES = 20, 22.0, 6
LEAST_KINDS = 10


STATE_SEED = 3


class SoakTest(unittest.TestCase):
    def test_a_seeded_run_breaks_no_promise(self):
        kinds = {fault.kind for fault in draw_faults(SEED, SECONDS)}
        self.assertGreaterEqual(len(kinds), LEAST_KINDS)
        self.assertIn("fatal-request", kinds)
        played = play(SEED, SECONDS, ENTRIES)
        told = text(SEED, played.faults, played.seen, played.checked)
        self.assertEqual(played.checked.violations, (), told)
        self.assertGreater(played.checked.counts["answers are whole and own"], 100, told)

    # Guards against changes of the published state that entries in touch do not know in time.
    def test_changes_are_in_force_in_time_in_a_seeded_run(self):
        played = play(STATE_SEED, SECONDS, ENTRIES, state_only=True)
        told = text(STATE_SEED, played.faults, played.seen, played.checked)
        self.assertEqual(played.checked.violations, (), told)
