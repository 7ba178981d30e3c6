"""Reading the logs of entries."""

import tempfile
import unittest
from pathlib import Path

from rhubarbhinge.cli._trace import trace
from rhubarbhinge.cli._why import why

LOG = """\
  35.1 vm-1 time=2026-12-02T10:00:00.200Z level=info node=vm-1 event=request-ended request=r1 \
route=search why=too-few-shards status=502 missing=3 took_ms=81.0
  35.1 vm-1 time=2026-12-02T10:00:00.200Z level=info node=vm-1 event=attempt-sent request=r1 \
at_ms=0.4 service=s0 searcher=i-1 why=first
time=2026-12-02T10:00:00.200Z level=warning node=vm-2 event=attempt-failed request=r2 why=broken \
code=reset
some other output
time=2026-12-02T10:00:00.200Z level=info node=vm-1 event=attempt-ended request=r1 at_ms=40.5 \
service=s0 searcher=i-1 outcome=lost why=broken
"""


class LogCommandsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "entry.log")
        Path(self.path).write_text(LOG)

    def test_the_steps_of_a_request_are_told_in_order(self):
        result = trace("r1", self.path)
        self.assertEqual(result.exit_code, 0)
        names = [line.split(" vm-1 ")[1].split()[0] for line in result.lines]
        self.assertEqual(names, ["attempt-sent", "attempt-ended", "request-ended"])
        self.assertIn("service=s0 searcher=i-1 outcome=lost why=broken", result.lines[1])

    def test_a_request_that_is_not_there_is_an_error_that_says_what_to_do(self):
        result = trace("r9", self.path)
        self.assertEqual(result.faults[0].code, "no-such-request")
        self.assertEqual(trace("r1", "/nonexistent").faults[0].code, "cannot-read")

    def test_failures_are_counted_by_cause(self):
        text = "\n".join(why(self.path).lines)
        self.assertIn("why=too-few-shards status=502 route=search", text)
        self.assertIn("why=broken code=reset", text)
