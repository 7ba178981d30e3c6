"""What becomes of requests that end searchers, and how entries come to agree on it.

The load: one request that comes again and again at any entry of a fleet; ever new ones from one
caller; good ones that lose their searchers by chance.
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
    ToldSuspicion,
)
from rhubarbhinge.quarantine._quarantine import (
    ANYBODY_AFTER_RESTS,
    CAUTION_MS,
    CAUTION_REQUESTS,
    FIRST_REST_MS,
    FORGOTTEN_AFTER_RESTS,
    GOOD_MS,
    MOST_KNOWN,
    NEWEST_TOLD,
    REST_FACTOR,
    SUSPECT_KEPT_MS,
)
from rhubarbhinge.utils.strict_json import json_decoder

FATAL, GOOD = "f" * 32, "c" * 32
ROUTE = "search"
ALLOWED_RETRIES = 3
"""Attempts at one request that may still reach searchers once three of them have ended."""


class Fleet:
    """Entries that tell each other what they know, when a test says so."""

    def __init__(self, names: tuple[str, ...] = ("vm-1", "vm-2", "vm-3")):
        self.now_ms = 1_000_000.0
        self.tries = names[0]
        self.news = 0
        self.entries = {name: self.entry(name) for name in names}

    def entry(self, name: str) -> Quarantine:
        return Quarantine(
            lambda: self.now_ms,
            lambda fingerprint: name == self.tries,
            self.on_news,
            random.Random(name),
        )

    def on_news(self) -> None:
        self.news += 1

    def tell(self, late_ms: float = 2.0) -> None:
        """Have each tell all others."""
        for name, sender in self.entries.items():
            told = [ToldSuspicion.of(known, self.now_ms) for known in sender.told()]
            self.now_ms += late_ms
            for other, receiver in self.entries.items():
                if other != name:
                    receiver.take([one.suspicion(self.now_ms) for one in told])


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.first, self.second, self.third = self.fleet.entries.values()

    def run_at(self, entry: Quarantine, fingerprint: str, *marks: int, trial: bool = False) -> bool:
        """Play a request; tell whether it was stopped.

        :param marks: searchers that end under it; those of a search get it at the same time.
        :param trial: whether it was refused until now, so that the first that ends stops it.
        """
        stopped = []
        watch = entry.watch(fingerprint, ROUTE, trial, lambda: stopped.append(True))
        for place, mark in enumerate(marks):
            watch.claim(f"s{place}", 1, lambda: None)
            watch.on_ended(f"s{place}", mark)
            watch.claim(f"s{place}", 2, lambda: None)
        if len(marks) >= 3:
            watch.on_ended("s0", 100 + marks[0])
        watch.close()
        return bool(stopped)

    def convict(self, entry: Quarantine, fingerprint: str = FATAL) -> None:
        self.assertTrue(self.run_at(entry, fingerprint, 1, 2, 3))

    def verdicts(self, fingerprint: str = FATAL) -> list[object]:
        return [entry.verdict(fingerprint, ROUTE) for entry in self.fleet.entries.values()]

    def assert_refused(self, verdict: object) -> None:
        self.assertIsInstance(verdict, Quarantined)
        self.assertGreater(verdict.retry_after_ms, 0.0)

    def test_a_request_that_ended_its_searchers_is_refused_everywhere(self):
        self.assertEqual(self.verdicts(), [ALLOWED] * 3)
        self.convict(self.first)
        self.assertEqual(self.fleet.news, 1)
        self.fleet.tell()
        for verdict in self.verdicts():
            self.assert_refused(verdict)
            self.assertLessEqual(verdict.retry_after_ms, FIRST_REST_MS)
        self.assertEqual(self.verdicts(GOOD), [ALLOWED] * 3)

    def test_ends_that_several_entries_saw_add_up(self):
        self.run_at(self.first, FATAL, 1)
        self.run_at(self.second, FATAL, 2)
        self.fleet.tell()
        self.assertEqual(self.third.verdict(FATAL, ROUTE), ONE_FIRST)
        self.assertTrue(self.run_at(self.third, FATAL, 3, trial=True))
        self.fleet.tell()
        for verdict in self.verdicts():
            self.assert_refused(verdict)

    def test_one_end_alone_sets_off_no_burst_of_news(self):
        self.run_at(self.first, FATAL, 1)
        self.assertEqual(self.fleet.news, 0)
        self.assertFalse(self.second.take(self.first.told()))
        self.run_at(self.first, FATAL, 2)
        self.assertEqual(self.fleet.news, 1)
        self.assertTrue(self.second.take(self.first.told()))
        self.assertFalse(self.second.take(self.first.told()))

    def test_the_same_end_seen_by_two_entries_counts_once(self):
        for entry in (self.first, self.second):
            self.run_at(entry, FATAL, 1, 2)
        self.fleet.tell()
        self.assertEqual(self.first.verdict(FATAL, ROUTE), ONE_FIRST)

    def test_a_conviction_stops_what_is_under_way_at_other_entries(self):
        stopped = []
        self.second.watch(FATAL, ROUTE, False, lambda: stopped.append("fatal"))
        self.second.watch(GOOD, ROUTE, False, lambda: stopped.append("good"))
        self.convict(self.first)
        self.fleet.tell()
        self.assertEqual(stopped, ["fatal"])

    def test_at_most_three_trials_in_half_an_hour_and_one_at_a_time(self):
        self.convict(self.first)
        self.fleet.tell()
        trials = 0
        for _ in range(30 * 60):
            self.fleet.now_ms += 1_000.0
            for entry in self.fleet.entries.values():
                if entry.verdict(FATAL, ROUTE) == ONE_FIRST:
                    trials += 1
                    self.assert_refused(entry.verdict(FATAL, ROUTE))
                    self.run_at(entry, FATAL, trials + 10, trial=True)
            self.fleet.tell(0.0)
        self.assertTrue(1 <= trials <= ALLOWED_RETRIES, trials)

    def test_a_trial_that_is_replied_to_clears_it_everywhere(self):
        self.convict(self.first)
        self.fleet.tell()
        self.fleet.now_ms += FIRST_REST_MS
        self.assertEqual(self.first.verdict(FATAL, ROUTE), ONE_FIRST)
        for entry in (self.second, self.third):
            self.assert_refused(entry.verdict(FATAL, ROUTE))
        watch = self.first.watch(FATAL, ROUTE, True, lambda: None)
        watch.claim("s0", 1, lambda: None)
        watch.on_replied("s0")
        self.fleet.tell()
        self.assertEqual(self.verdicts(), [ALLOWED] * 3)

    def test_an_entry_that_was_cut_off_meanwhile_brings_no_conviction_back(self):
        self.convict(self.first)
        self.fleet.tell()
        cut_off = self.fleet.entries.pop("vm-3")
        self.fleet.now_ms += FIRST_REST_MS
        self.first.verdict(FATAL, ROUTE)
        watch = self.first.watch(FATAL, ROUTE, True, lambda: None)
        watch.on_replied("s0")
        self.fleet.tell()
        while cut_off.told():
            self.fleet.now_ms += 10_000.0
            self.first.take(cut_off.told())
            self.assertEqual(self.first.verdict(FATAL, ROUTE), ALLOWED)
            self.fleet.tell(0.0)

    def test_requests_that_are_not_told_apart_accuse_none(self):
        self.assertTrue(self.run_at(self.first, "", 1, 2, 3))
        self.assertEqual(self.first.verdict("", ROUTE), ALLOWED)

    def test_a_request_that_was_cleared_can_be_convicted_again(self):
        self.test_a_trial_that_is_replied_to_clears_it_everywhere()
        self.fleet.now_ms += 2 * GOOD_MS
        self.convict(self.second)
        self.fleet.tell()
        for verdict in self.verdicts():
            self.assert_refused(verdict)

    def test_any_entry_may_try_it_when_the_one_that_is_to_gets_no_request(self):
        self.convict(self.first)
        self.fleet.tell()
        self.fleet.now_ms += ANYBODY_AFTER_RESTS * FIRST_REST_MS + 10.0
        self.assertEqual(self.third.verdict(FATAL, ROUTE), ONE_FIRST)

    def test_each_failed_trial_makes_the_rest_longer(self):
        self.convict(self.first)
        rest_ms = FIRST_REST_MS
        for mark in range(3):
            self.assertAlmostEqual(self.first.verdict(FATAL, ROUTE).retry_after_ms, rest_ms)
            self.fleet.now_ms += rest_ms
            self.assertEqual(self.first.verdict(FATAL, ROUTE), ONE_FIRST)
            self.run_at(self.first, FATAL, 50 + mark, trial=True)
            rest_ms *= REST_FACTOR

    def test_what_nobody_asks_for_any_more_is_forgotten(self):
        self.convict(self.first)
        self.run_at(self.first, GOOD, 8)
        self.fleet.now_ms += SUSPECT_KEPT_MS + 1.0
        self.assertEqual(len(self.first.told()), 1)
        self.fleet.now_ms += FORGOTTEN_AFTER_RESTS * FIRST_REST_MS
        self.assertEqual(self.first.told(), ())

    def test_a_request_that_others_are_replied_to_is_not_accused(self):
        watch = self.first.watch(GOOD, ROUTE, False, lambda: None)
        watch.on_replied("s0")
        watch.close()
        self.run_at(self.first, GOOD, 1, 2, 3)
        self.assertEqual(self.first.verdict(GOOD, ROUTE), ALLOWED)

    def test_ever_new_requests_make_their_route_cautious_and_refuse_no_good_one(self):
        for number in range(CAUTION_REQUESTS):
            self.assertEqual(self.first.verdict(GOOD, ROUTE), ALLOWED)
            self.convict(self.first, f"{number:032x}")
        self.fleet.tell()
        self.assertEqual(self.verdicts("a" * 32), [ONE_FIRST] * 3)
        self.assertEqual(self.second.verdict("a" * 32, "other"), ALLOWED)
        self.assertEqual(self.second.verdict("a" * 32, ROUTE, spreads=False), ALLOWED)
        self.fleet.now_ms += CAUTION_MS
        self.assertEqual(self.verdicts("a" * 32), [ALLOWED] * 3)

    def test_caution_lasts_as_long_as_new_requests_end_searchers(self):
        for number in range(CAUTION_REQUESTS):
            self.convict(self.first, f"{number:032x}")
        for number in range(20):
            self.fleet.now_ms += 0.9 * CAUTION_MS
            fingerprint = f"{100 + number:032x}"
            self.assertEqual(self.first.verdict(fingerprint, ROUTE), ONE_FIRST)
            self.run_at(self.first, fingerprint, number, trial=True)

    def test_what_is_kept_and_told_is_bounded(self):
        for number in range(2 * MOST_KNOWN):
            self.convict(self.first, f"{number:032x}")
            self.fleet.now_ms += 10.0
        self.assertEqual(self.first.convicted, MOST_KNOWN)
        told = self.first.told()
        self.assertEqual(len(told), 2 * NEWEST_TOLD)
        sent = msgspec.json.encode([ToldSuspicion.of(one, self.fleet.now_ms) for one in told])
        # Three heartbeats a second leave half of the 5 KB a second for all of control.
        self.assertLess(3 * len(sent), 2_560)

    def test_what_is_told_can_be_read_after_many_trials(self):
        self.assertTrue(self.run_at(self.first, FATAL, *range(1, 12)))
        for number in range(5):
            self.fleet.now_ms += 2.0 * FIRST_REST_MS * REST_FACTOR**number
            self.first.verdict(FATAL, ROUTE)
            self.run_at(self.first, FATAL, 1_000 + number, trial=True)
            told = [ToldSuspicion.of(one, self.fleet.now_ms) for one in self.first.told()]
            read = json_decoder(list[ToldSuspicion])
            self.assertEqual(read(msgspec.json.encode(told)), told)

    def test_accounts_do_not_grow_younger_on_their_way(self):
        self.convict(self.first)
        for _ in range(500):
            self.fleet.tell(late_ms=100.0)
        ages = [
            self.fleet.now_ms - entry.told()[0].since_ms for entry in self.fleet.entries.values()
        ]
        self.assertGreater(min(ages), 500 * 300.0 - 500.0)


ACCOUNTS = st.builds(
    Suspicion,
    st.just(FATAL),
    st.just(ROUTE),
    st.integers(1, 3),
    st.booleans(),
    st.frozensets(st.integers(0, 5), min_size=1, max_size=4),
    st.floats(0.0, 9.0),
)


class JoinTest(unittest.TestCase):
    @settings(deadline=None, derandomize=True, database=None)
    @given(st.lists(ACCOUNTS, min_size=1, max_size=5), st.randoms(use_true_random=False))
    def test_accounts_join_to_the_same_in_any_order_and_however_often(self, accounts, rng):
        def joined(ordered: list[Suspicion]) -> tuple:
            result = ordered[0]
            for account in ordered[1:]:
                result = result.joined(account)
            return result.round, result.cleared, result.marks

        again = accounts + rng.choices(accounts, k=3)
        rng.shuffle(again)
        if not any(account.cleared for account in accounts):
            self.assertEqual(joined(again), joined(accounts))
        self.assertEqual(joined(again)[:2], joined(accounts)[:2])

    @settings(deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_refused(self, data):
        read = json_decoder(list[ToldSuspicion])
        try:
            read(data)
        except ValueError:
            return
