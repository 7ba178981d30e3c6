"""Quarantine of requests that crash searchers, and its agreement among entries.

Scenarios: one request that is repeated at any entry of a fleet; a stream of new harmful requests
from one caller; harmless requests that lose their searchers by coincidence.
"""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.quarantine import (
    ALLOWED,
    ONE_FIRST,
    Quarantine,
    Quarantined,
    Suspicion,
    SuspicionMessage,
)
from rhubarbhinge.quarantine._quarantine import (
    ANY_ENTRY_TRIAL_PERIODS,
    CAUTION_REQUESTS,
    CAUTION_WINDOW_MS,
    EXPIRY_PERIODS,
    INITIAL_QUARANTINE_MS,
    MAX_SUSPICIONS,
    NEWEST_SENT,
    QUARANTINE_GROWTH_FACTOR,
    RECENT_REPLY_MS,
    SUSPICION_TTL_MS,
)
from rhubarbhinge.utils.strict_json import json_decoder

FATAL, GOOD = "f" * 32, "c" * 32
ROUTE = "search"
MAX_TRIALS = 3
"""Maximum number of attempts at one request that may reach searchers after three have crashed."""


class Fleet:
    """Entries that exchange their suspicions when a test calls :meth:`tell`."""

    def __init__(self, names: tuple[str, ...] = ("vm-1", "vm-2", "vm-3")):
        self.now_ms = 1_000_000.0
        self.trial_entry = names[0]
        self.urgent_updates = 0
        self.entries = {name: self.entry(name) for name in names}

    def entry(self, name: str) -> Quarantine:
        return Quarantine(
            lambda: self.now_ms,
            lambda fingerprint: name == self.trial_entry,
            self.on_urgent_update,
            random.Random(name),
        )

    def on_urgent_update(self) -> None:
        self.urgent_updates += 1

    def tell(self, transit_ms: float = 2.0) -> None:
        """Send the suspicions of each entry to all others."""
        for name, sender in self.entries.items():
            told = [
                SuspicionMessage.from_suspicion(known, self.now_ms)
                for known in sender.suspicions_to_send()
            ]
            self.now_ms += transit_ms
            for other, receiver in self.entries.items():
                if other != name:
                    receiver.merge([one.to_suspicion(self.now_ms) for one in told])


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.first, self.second, self.third = self.fleet.entries.values()

    def simulate_request(
        self, entry: Quarantine, fingerprint: str, *marks: int, trial: bool = False
    ) -> bool:
        """Simulate a request; return whether it was stopped.

        :param marks: searchers that crash during it; those of a search receive it at the same time.
        :param trial: whether it was quarantined so far, so that the first crash stops it.
        """
        stopped = []
        watch = entry.watch(fingerprint, ROUTE, trial, lambda: stopped.append(True))
        for place, mark in enumerate(marks):
            watch.claim(f"s{place}", 1, lambda: None)
            watch.on_searcher_exited(f"s{place}", mark)
            watch.claim(f"s{place}", 2, lambda: None)
        if len(marks) >= 3:
            watch.on_searcher_exited("s0", 100 + marks[0])
        watch.close()
        return bool(stopped)

    def quarantine(self, entry: Quarantine, fingerprint: str = FATAL) -> None:
        self.assertTrue(self.simulate_request(entry, fingerprint, 1, 2, 3))

    def decisions(self, fingerprint: str = FATAL) -> list[object]:
        return [entry.decide(fingerprint, ROUTE) for entry in self.fleet.entries.values()]

    def assert_refused(self, decision: object) -> None:
        self.assertIsInstance(decision, Quarantined)
        self.assertGreater(decision.retry_after_ms, 0.0)

    def test_a_request_that_crashed_its_searchers_is_refused_at_all_entries(self):
        self.assertEqual(self.decisions(), [ALLOWED] * 3)
        self.quarantine(self.first)
        self.assertEqual(self.fleet.urgent_updates, 1)
        self.fleet.tell()
        for decision in self.decisions():
            self.assert_refused(decision)
            self.assertLessEqual(decision.retry_after_ms, INITIAL_QUARANTINE_MS)
        self.assertEqual(self.decisions(GOOD), [ALLOWED] * 3)

    def test_crashes_seen_by_different_entries_accumulate(self):
        self.simulate_request(self.first, FATAL, 1)
        self.simulate_request(self.second, FATAL, 2)
        self.fleet.tell()
        self.assertEqual(self.third.decide(FATAL, ROUTE), ONE_FIRST)
        self.assertTrue(self.simulate_request(self.third, FATAL, 3, trial=True))
        self.fleet.tell()
        for decision in self.decisions():
            self.assert_refused(decision)

    def test_a_single_crash_is_not_announced(self):
        self.simulate_request(self.first, FATAL, 1)
        self.assertEqual(self.fleet.urgent_updates, 0)
        self.assertFalse(self.second.merge(self.first.suspicions_to_send()))
        self.simulate_request(self.first, FATAL, 2)
        self.assertEqual(self.fleet.urgent_updates, 1)
        self.assertTrue(self.second.merge(self.first.suspicions_to_send()))
        self.assertFalse(self.second.merge(self.first.suspicions_to_send()))

    def test_a_crash_seen_by_two_entries_counts_once(self):
        for entry in (self.first, self.second):
            self.simulate_request(entry, FATAL, 1, 2)
        self.fleet.tell()
        self.assertEqual(self.first.decide(FATAL, ROUTE), ONE_FIRST)

    def test_a_quarantine_stops_requests_in_progress_at_other_entries(self):
        stopped = []
        self.second.watch(FATAL, ROUTE, False, lambda: stopped.append("fatal"))
        self.second.watch(GOOD, ROUTE, False, lambda: stopped.append("good"))
        self.quarantine(self.first)
        self.fleet.tell()
        self.assertEqual(stopped, ["fatal"])

    def test_at_most_three_trials_in_half_an_hour_and_one_at_a_time(self):
        self.quarantine(self.first)
        self.fleet.tell()
        trials = 0
        for _ in range(30 * 60):
            self.fleet.now_ms += 1_000.0
            for entry in self.fleet.entries.values():
                if entry.decide(FATAL, ROUTE) == ONE_FIRST:
                    trials += 1
                    self.assert_refused(entry.decide(FATAL, ROUTE))
                    self.simulate_request(entry, FATAL, trials + 10, trial=True)
            self.fleet.tell(0.0)
        self.assertTrue(1 <= trials <= MAX_TRIALS, trials)

    def test_a_successful_trial_clears_the_request_at_all_entries(self):
        self.quarantine(self.first)
        self.fleet.tell()
        self.fleet.now_ms += INITIAL_QUARANTINE_MS
        self.assertEqual(self.first.decide(FATAL, ROUTE), ONE_FIRST)
        for entry in (self.second, self.third):
            self.assert_refused(entry.decide(FATAL, ROUTE))
        watch = self.first.watch(FATAL, ROUTE, True, lambda: None)
        watch.claim("s0", 1, lambda: None)
        watch.on_replied("s0")
        self.fleet.tell()
        self.assertEqual(self.decisions(), [ALLOWED] * 3)

    def test_a_disconnected_entry_does_not_reintroduce_a_quarantine(self):
        self.quarantine(self.first)
        self.fleet.tell()
        cut_off = self.fleet.entries.pop("vm-3")
        self.fleet.now_ms += INITIAL_QUARANTINE_MS
        self.first.decide(FATAL, ROUTE)
        watch = self.first.watch(FATAL, ROUTE, True, lambda: None)
        watch.on_replied("s0")
        self.fleet.tell()
        while cut_off.suspicions_to_send():
            self.fleet.now_ms += 10_000.0
            self.first.merge(cut_off.suspicions_to_send())
            self.assertEqual(self.first.decide(FATAL, ROUTE), ALLOWED)
            self.fleet.tell(0.0)

    def test_requests_without_fingerprint_are_not_suspected(self):
        self.assertTrue(self.simulate_request(self.first, "", 1, 2, 3))
        self.assertEqual(self.first.decide("", ROUTE), ALLOWED)

    def test_a_cleared_request_can_be_quarantined_again(self):
        self.test_a_successful_trial_clears_the_request_at_all_entries()
        self.fleet.now_ms += 2 * RECENT_REPLY_MS
        self.quarantine(self.second)
        self.fleet.tell()
        for decision in self.decisions():
            self.assert_refused(decision)

    def test_any_entry_may_start_a_trial_after_a_longer_time(self):
        self.quarantine(self.first)
        self.fleet.tell()
        self.fleet.now_ms += ANY_ENTRY_TRIAL_PERIODS * INITIAL_QUARANTINE_MS + 10.0
        self.assertEqual(self.third.decide(FATAL, ROUTE), ONE_FIRST)

    def test_each_failed_trial_extends_the_quarantine(self):
        self.quarantine(self.first)
        quarantine_ms = INITIAL_QUARANTINE_MS
        for mark in range(3):
            self.assertAlmostEqual(self.first.decide(FATAL, ROUTE).retry_after_ms, quarantine_ms)
            self.fleet.now_ms += quarantine_ms
            self.assertEqual(self.first.decide(FATAL, ROUTE), ONE_FIRST)
            self.simulate_request(self.first, FATAL, 50 + mark, trial=True)
            quarantine_ms *= QUARANTINE_GROWTH_FACTOR

    def test_suspicions_expire(self):
        self.quarantine(self.first)
        self.simulate_request(self.first, GOOD, 8)
        self.fleet.now_ms += SUSPICION_TTL_MS + 1.0
        self.assertEqual(len(self.first.suspicions_to_send()), 1)
        self.fleet.now_ms += EXPIRY_PERIODS * INITIAL_QUARANTINE_MS
        self.assertEqual(self.first.suspicions_to_send(), ())

    def test_a_request_with_recent_replies_is_not_suspected(self):
        watch = self.first.watch(GOOD, ROUTE, False, lambda: None)
        watch.on_replied("s0")
        watch.close()
        self.simulate_request(self.first, GOOD, 1, 2, 3)
        self.assertEqual(self.first.decide(GOOD, ROUTE), ALLOWED)

    def test_many_new_quarantined_requests_make_their_route_cautious(self):
        for number in range(CAUTION_REQUESTS):
            self.assertEqual(self.first.decide(GOOD, ROUTE), ALLOWED)
            self.quarantine(self.first, f"{number:032x}")
        self.fleet.tell()
        self.assertEqual(self.decisions("a" * 32), [ONE_FIRST] * 3)
        self.assertEqual(self.second.decide("a" * 32, "other"), ALLOWED)
        self.assertEqual(self.second.decide("a" * 32, ROUTE, fans_out=False), ALLOWED)
        self.fleet.now_ms += CAUTION_WINDOW_MS
        self.assertEqual(self.decisions("a" * 32), [ALLOWED] * 3)

    def test_caution_lasts_while_new_requests_crash_searchers(self):
        for number in range(CAUTION_REQUESTS):
            self.quarantine(self.first, f"{number:032x}")
        for number in range(20):
            self.fleet.now_ms += 0.9 * CAUTION_WINDOW_MS
            fingerprint = f"{100 + number:032x}"
            self.assertEqual(self.first.decide(fingerprint, ROUTE), ONE_FIRST)
            self.simulate_request(self.first, fingerprint, number, trial=True)

    def test_stored_and_sent_suspicions_are_bounded(self):
        for number in range(2 * MAX_SUSPICIONS):
            self.quarantine(self.first, f"{number:032x}")
            self.fleet.now_ms += 10.0
        self.assertEqual(self.first.quarantined_count, MAX_SUSPICIONS)
        told = self.first.suspicions_to_send()
        self.assertEqual(len(told), 2 * NEWEST_SENT)
        sent = msgspec.json.encode(
            [SuspicionMessage.from_suspicion(one, self.fleet.now_ms) for one in told]
        )
        # Three heartbeats per second must leave half of the 5 KB/s for the rest of the control
        # traffic.
        self.assertLess(3 * len(sent), 2_560)

    def test_sent_suspicions_can_be_decoded_after_many_trials(self):
        self.assertTrue(self.simulate_request(self.first, FATAL, *range(1, 12)))
        for number in range(5):
            self.fleet.now_ms += 2.0 * INITIAL_QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR**number
            self.first.decide(FATAL, ROUTE)
            self.simulate_request(self.first, FATAL, 1_000 + number, trial=True)
            told = [
                SuspicionMessage.from_suspicion(one, self.fleet.now_ms)
                for one in self.first.suspicions_to_send()
            ]
            read = json_decoder(list[SuspicionMessage])
            self.assertEqual(read(msgspec.json.encode(told)), told)

    def test_suspicions_do_not_become_younger_in_transit(self):
        self.quarantine(self.first)
        for _ in range(500):
            self.fleet.tell(transit_ms=100.0)
        ages = [
            self.fleet.now_ms - entry.suspicions_to_send()[0].since_ms
            for entry in self.fleet.entries.values()
        ]
        self.assertGreater(min(ages), 500 * 300.0 - 500.0)


SUSPICIONS = st.builds(
    Suspicion,
    st.just(FATAL),
    st.just(ROUTE),
    st.integers(1, 3),
    st.booleans(),
    st.frozensets(st.integers(0, 5), min_size=1, max_size=4),
    st.floats(0.0, 9.0),
)


class MergeTest(unittest.TestCase):
    @settings(deadline=None, derandomize=True, database=None)
    @given(st.lists(SUSPICIONS, min_size=1, max_size=5), st.randoms(use_true_random=False))
    def test_merging_does_not_depend_on_order_or_repetition(self, updates, rng):
        def merged(ordered: list[Suspicion]) -> tuple:
            result = ordered[0]
            for update in ordered[1:]:
                result = result.merged_with(update)
            return result.round, result.cleared, result.marks

        again = updates + rng.choices(updates, k=3)
        rng.shuffle(again)
        if not any(update.cleared for update in updates):
            self.assertEqual(merged(again), merged(updates))
        self.assertEqual(merged(again)[:2], merged(updates)[:2])

    @settings(deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, data):
        read = json_decoder(list[SuspicionMessage])
        try:
            read(data)
        except ValueError:
            return
