"""Size of state transfers between entries, which share the network link with search requests.

Guards against a reader that saturates its link by sending the full state to each follower. In an
incident with 59 VMs, the reader of a failure domain sent a changed serving plan in full to each of
eleven entries, 590 KB in total, which filled its link of 8.4 Mbit/s for half a second. Its searches
were delayed by 346 ms, its delegated requests failed as they were not accepted in time, and six
searches went to more searchers than allowed. After each new plan and each change of readers,
readers sent ten times as much in a second as other VMs.
"""

import unittest

from circuits import BaseComponent
from msgspec.structs import replace

from rhubarbhinge.peers.tests.state_sharing import FollowerEntry, ReaderEntry, large_state
from rhubarbhinge.published import Changes
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree
from rhubarbhinge.utils.testing_revisions import make_revision

FOLLOWERS = 11
"""Entries that follow the reader in a failure domain of twelve."""
ACCEPT_TIMEOUT_MS = 30.0
"""A delegated request that is not accepted within this time fails, so a transfer has to be
shorter."""
LINK_BYTES_PER_MS = 1_050.0
"""Capacity of the link of such a VM, 8.4 Mbit/s."""
MAX_BYTES = int(ACCEPT_TIMEOUT_MS * LINK_BYTES_PER_MS)

TIMEOUT_S = 40.0
"""Timeout of each wait; an entry that was suspended does not ask its reader for three seconds."""


class StateTransferSizeTest(unittest.TestCase):
    def setUp(self):
        self.root = BaseComponent()
        self.timers = TimerService().register(self.root)
        self.addCleanup(stop_tree, self.root)
        self.state = large_state()
        self.reader = ReaderEntry(self.root, self.timers)
        self.reader.receive(self.state)
        self.entries = [self.make_entry(self.reader, number) for number in range(FOLLOWERS)]
        self.wait_until_received(self.reader)

    def make_entry(self, reader: ReaderEntry, number: int) -> FollowerEntry:
        entry = FollowerEntry(self.root, self.timers, f"vm-{number + 2}", reader)
        entry.start(self.state)
        return entry

    def wait_until_received(self, reader: ReaderEntry) -> None:
        def received() -> bool:
            have_waited = all(entry.source.reader_calls > 1 for entry in self.entries)
            return have_waited and all(
                entry.has_same_state(reader.follower) for entry in self.entries
            )

        self.assertTrue(
            run_until(self.root, received, TIMEOUT_S), "the state was not received in time"
        )

    def sent_bytes_for(self, changes: Changes) -> int:
        before = self.reader.server.sent_bytes
        self.reader.receive(changes)
        self.wait_until_received(self.reader)
        return self.reader.server.sent_bytes - before

    def test_changes_do_not_delay_requests(self):
        plan, searchers = self.state.plan, self.state.searchers
        route = replace(plan.routes[0], timeout_ms=2_000.0)
        changed = replace(plan, version=8, routes=(route, *plan.routes[1:]))
        leaving = tuple(replace(one, draining=True) for one in searchers[:60])
        for label, changes in (
            ("a serving plan", Changes(make_revision(101), changed)),
            ("many searchers at once", Changes(make_revision(102), None, leaving)),
        ):
            with self.subTest(label):
                self.assertLessEqual(self.sent_bytes_for(changes), MAX_BYTES)

    def test_new_reader_sends_little_to_nodes_with_the_same_state(self):
        # The previous reader has stopped or restarted, and its log is lost.
        for changed in (False, True):
            reader = ReaderEntry(self.root, self.timers, seed=2 + changed)
            reader.receive(self.state)
            if changed:
                reader.receive(Changes(make_revision(101), replace(self.state.plan, version=8)))
            for entry in self.entries:
                entry.source._port = reader.port
            with self.subTest(changed=changed):
                self.wait_until_received(reader)
                self.assertLessEqual(reader.server.sent_bytes, MAX_BYTES)

    def test_node_that_lacks_a_searcher_gets_all_from_a_new_reader(self):
        reader = ReaderEntry(self.root, self.timers, seed=2)
        added = replace(self.state.searchers[0], incarnation="i-new")
        removed = self.state.searchers[1].incarnation
        reader.receive(self.state)
        reader.receive(Changes(make_revision(101), None, (added,), (removed,)))
        for entry in self.entries:
            entry.source._port = reader.port
        self.wait_until_received(reader)
