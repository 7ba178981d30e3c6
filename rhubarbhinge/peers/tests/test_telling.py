"""What telling published state to others costs the link that searches go by, too.

In an incident with 59 VMs, searches of one VM waited 346 ms before they reached any searcher, its
asks were given up as not taken, and six went to more searchers than allowed. That VM read the
platform for its failure domain. Its link of 8.4 Mbit/s was full for half a second with the
configuration that had just changed, whole, once for each of eleven others: 590 KB. It showed in
what each VM sent in each second: readers stood out by ten times after each configuration and
after each change of readers.
"""

import unittest

from circuits import BaseComponent
from msgspec.structs import replace

from rhubarbhinge.peers.tests.telling import FollowingEntry, Reader, large_state
from rhubarbhinge.published import Changes
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree
from rhubarbhinge.utils.testing_revisions import make_revision

FOLLOWERS = 11
"""Entries that follow the reader of a failure domain with twelve."""
ASK_WAIT_MS = 30.0
"""An ask that is not taken within so long is given up, so that a transfer has to be shorter."""
LINK_BYTES_PER_MS = 1_050.0
"""The link of such a VM, 8.4 Mbit/s."""
MOST_BYTES = int(ASK_WAIT_MS * LINK_BYTES_PER_MS)

WAIT_S = 40.0
"""Bound of each wait: an entry that was held up leaves its reader alone for three seconds."""


class TellingTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        self.timers = TimerService().register(self.root)
        self.addCleanup(stop_tree, self.root)
        self.state = large_state()
        self.reader = Reader(self.root, self.timers)
        self.reader.tell(self.state)
        self.entries = [self.entry(self.reader, number) for number in range(FOLLOWERS)]
        self.wait_until_told(self.reader)

    def entry(self, reader: Reader, number: int) -> FollowingEntry:
        entry = FollowingEntry(self.root, self.timers, f"vm-{number + 2}", reader)
        entry.start(self.state)
        return entry

    def wait_until_told(self, reader: Reader) -> None:
        def told() -> bool:
            waits = all(entry.source.reader_calls > 1 for entry in self.entries)
            return waits and all(entry.knows(reader.follower) for entry in self.entries)

        self.assertTrue(run_until(self.root, told, WAIT_S), "the bound was reached")

    def told_bytes(self, changes: Changes) -> int:
        before = self.reader.server.sent_bytes
        self.reader.tell(changes)
        self.wait_until_told(self.reader)
        return self.reader.server.sent_bytes - before

    def test_what_changes_holds_no_ask_up(self):
        plan, searchers = self.state.plan, self.state.searchers
        route = replace(plan.routes[0], timeout_ms=2_000.0)
        changed = replace(plan, version=8, routes=(route, *plan.routes[1:]))
        leaving = tuple(replace(one, draining=True) for one in searchers[:60])
        for what, changes in (
            ("a configuration", Changes(make_revision(101), changed)),
            ("many searchers at once", Changes(make_revision(102), None, leaving)),
        ):
            with self.subTest(what):
                self.assertLessEqual(self.told_bytes(changes), MOST_BYTES)

    def test_another_reader_tells_those_who_know_all_next_to_nothing(self):
        # The entry that read the platform stops, or its process starts again: its log is gone.
        for changed in (False, True):
            reader = Reader(self.root, self.timers, seed=2 + changed)
            reader.tell(self.state)
            if changed:
                reader.tell(Changes(make_revision(101), replace(self.state.plan, version=8)))
            for entry in self.entries:
                entry.source._port = reader.port
            with self.subTest(changed=changed):
                self.wait_until_told(reader)
                self.assertLessEqual(reader.server.sent_bytes, MOST_BYTES)

    def test_one_who_lacks_a_searcher_gets_all_of_them_from_another_reader(self):
        reader = Reader(self.root, self.timers, seed=2)
        came = replace(self.state.searchers[0], incarnation="i-new")
        gone = self.state.searchers[1].incarnation
        reader.tell(self.state)
        reader.tell(Changes(make_revision(101), None, (came,), (gone,)))
        for entry in self.entries:
            entry.source._port = reader.port
        self.wait_until_told(reader)
