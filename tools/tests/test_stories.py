"""The failed requests of docs/OPERATIONS.md can be followed from their ids."""

import contextlib
import io
import unittest

from tools.stories import tell


class StoriesTest(unittest.TestCase):
    def events(self, name: str) -> list[str]:
        with contextlib.redirect_stdout(io.StringIO()):
            return tell(name)

    def test_a_late_sweep_names_its_shard_and_its_attempts(self):
        events = self.events("late")
        self.assertEqual(events[-1], "request-ended")
        self.assertEqual(events[0], "attempt-sent")

    def test_a_refusal_names_each_searcher_that_had_no_room(self):
        events = self.events("refused")
        self.assertGreaterEqual(events.count("attempt-ended"), 2)
        self.assertEqual(events[-1], "request-ended")

    def test_an_unknown_outcome_names_the_broken_connection(self):
        events = self.events("unknown")
        self.assertIn("attempt-failed", events)
        self.assertEqual(events.count("attempt-sent"), 1)
        self.assertEqual(events[-1], "request-ended")
