"""Tests for searches whose shards were delegated to entries that are held up by their kernel.

Guards against searches that fail although no searcher got them: an entry that reads a request
together with its cancellation sends nothing, and its attempts are available again.
"""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.delegation import DelegateCancel, DelegateServer, _client
from rhubarbhinge.fleet import Searcher
from rhubarbhinge.gateway import _shard_delegation
from rhubarbhinge.gateway.tests.simulated_attempts import (
    ENTRIES,
    SHARDS_PER_ENTRY,
    WAIT_MS,
    SearchSimulation,
    SimulatedEntry,
)
from rhubarbhinge.gather import Gathered
from rhubarbhinge.plans import ShardSet

HOLD_UP_MS = 84.0
"""Longer than two requests that are given up one after the other, 30 ms each."""
SHARDS = ShardSet(tuple(f"s{n}" for n in range(6)), 2, 1.0)
OTHERS = tuple(name for name in ENTRIES if name != "a-1")
HOLD_UPS = st.tuples(st.sampled_from(OTHERS), st.floats(0.0, 150.0), st.floats(1.0, 1_200.0))
RESETS = st.tuples(st.sampled_from(OTHERS), st.floats(0.0, 300.0))


class HeldUpSimulation(SearchSimulation):
    """A search at ``a-1`` over shards with searchers in the other failure domains only."""

    def entry_type(self, _, name: str) -> SimulatedEntry:
        self.published = [
            Searcher(f"{shard}-{domain}", shard, "10.0.0.1", 80, domain, 2)
            for shard in SHARDS.services
            for domain in ("hall-b", "hall-c")
        ]
        return SimulatedEntry(self, name)

    def disable_faults(self) -> None:
        for name in vars(self.faults):
            setattr(self.faults, name, 0.0)

    def hold_up(self, name: str, after_ms: float, duration_ms: float) -> None:
        timers = self.entries[name].timers

        def pause() -> None:
            timers.paused_until_ms = self.timers.now_ms() + duration_ms

        self.timers.after(after_ms, pause)

    def reset_links(self, name: str, after_ms: float) -> None:
        links = self.network.servers[name]
        self.timers.after(after_ms, lambda: [links.abort(link) for link in list(links.conns)])

    def search(self, max_attempts: int = 2) -> None:
        entry = self.entries["a-1"]
        self.started_ms = self.timers.now_ms()
        self.ended_ms: list[float] = []

        def on_end(result) -> None:
            self.results.append(result)
            self.ended_ms.append(self.timers.now_ms() - self.started_ms)

        search = entry.search("r1", SHARDS, max_attempts, on_end)
        entry.timers.after(WAIT_MS, search.time_out)
        self.timers.advance(4 * WAIT_MS)


class HeldUpDelegatesTest(unittest.TestCase):
    def setUp(self):
        patches = (
            mock.patch.object(_client, "log_event"),
            mock.patch.object(_shard_delegation, "MAX_SHARDS_PER_ENTRY", SHARDS_PER_ENTRY),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def simulation(self, seed: int) -> HeldUpSimulation:
        simulation = HeldUpSimulation(seed)
        for domain in ("hall-b", "hall-c"):
            simulation.entries["a-1"].delegate_client.prepare(domain)
        simulation.timers.advance(10.0)
        return simulation

    def search_while_others_are_held_up(self) -> HeldUpSimulation:
        simulation = self.simulation(1)
        simulation.disable_faults()
        for name in OTHERS:
            simulation.hold_up(name, 0.0, HOLD_UP_MS)
        simulation.timers.advance(0.0)
        simulation.search()
        return simulation

    def test_search_is_answered_when_all_its_delegates_were_held_up_and_sent_nothing(self):
        (result,) = self.search_while_others_are_held_up().results
        self.assertIsInstance(result, Gathered)
        self.assertEqual(result.missing, ())

    def test_delegates_of_an_earlier_release_delay_a_failure_only_for_the_bounded_time(self):
        with (
            mock.patch.object(_client, "GIVEN_UP_TIMEOUT_MS", 200.0),
            mock.patch.object(DelegateServer, "_on_message", _without_replies_to_cancellations()),
        ):
            simulation = self.search_while_others_are_held_up()
        (result,) = simulation.results
        self.assertTrue(result.may_have_run)
        self.assertFalse(result.timed_out)

    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(
        st.integers(0, 1 << 32),
        st.integers(1, 3),
        st.lists(HOLD_UPS, max_size=5),
        st.lists(RESETS, max_size=3),
        st.booleans(),
    )
    def test_limits_hold_for_hold_ups_cancellations_late_replies_and_closed_links(
        self, seed, max_attempts, hold_ups, resets, replies_to_cancellations
    ):
        simulation = self.simulation(seed)
        for name, after_ms, duration_ms in hold_ups:
            simulation.hold_up(name, after_ms, duration_ms)
        for name, after_ms in resets:
            simulation.reset_links(name, after_ms)
        on_message = DelegateServer._on_message
        if not replies_to_cancellations:
            on_message = _without_replies_to_cancellations()
        with mock.patch.object(DelegateServer, "_on_message", on_message):
            simulation.search(max_attempts)
        self.assertLessEqual(simulation.max_searchers(), max_attempts)
        (result,) = simulation.results
        self.assertLessEqual(simulation.ended_ms[0], WAIT_MS)
        if isinstance(result, Gathered):
            answered = {signature.split("-")[1] for signature in result.signatures}
            self.assertEqual(len(answered), len(result.signatures))
            self.assertEqual(answered, set(SHARDS.services) - set(result.missing))
        elif not result.may_have_run:
            self.assertEqual(simulation.max_searchers(), 0)


def _without_replies_to_cancellations():
    """Return the message handler of earlier releases, which ignore unknown fields."""
    on_message = DelegateServer._on_message

    def handle(self, link, state, message) -> None:
        if isinstance(message, DelegateCancel):
            message = DelegateCancel(message.number)
        on_message(self, link, state, message)

    return handle
