"""Unit tests of the query core's single decisions."""

import unittest

from rhubarbhinge.query import (
    Answer,
    RelayTarget,
    SendBatch,
    Shortfall,
    all_answers,
)
from rhubarbhinge.query.tests import builders
from rhubarbhinge.query.tests.core_harness import CoreHarness, cancels
from rhubarbhinge.wire import SubCode, UpstreamReport, UpstreamState

HALF = builders.KEYS // 2
LOW, HIGH = (1, 0, HALF), (1, HALF, builders.KEYS)
NOT_EXTRA_LOAD = (
    SubCode.DRAINING,
    SubCode.VERSION_GONE,
    SubCode.WRONG_RECEIVER,
    SubCode.RANGE_MOVED,
)


class HedgeTest(unittest.TestCase):
    def test_hedge_is_sent_to_another_replica_after_the_delay(self):
        harness = CoreHarness({1: [LOW, HIGH], 2: [LOW, HIGH]})
        first = harness.sends(harness.start())
        self.assertEqual([], harness.sends(harness.core.tick(29.0)))
        hedges = harness.sends(harness.core.tick(30.0))
        self.assertEqual([row[0] for row in first], [row[0] for row in hedges])
        for row, hedge in zip(first, hedges, strict=True):
            self.assertEqual({1, 2}, {row[2], hedge[2]})

    def test_check_for_another_part_sends_no_early_hedge(self):
        harness = CoreHarness({1: [LOW], 2: [LOW], 3: [HIGH]})
        rows = {row[3]: row for row in harness.sends(harness.start())}
        harness.answer(rows[HALF], 5.0, SubCode.SHED, 15)
        self.assertEqual([HALF], [row[3] for row in harness.sends(harness.core.tick(20.0))])

    def test_hedges_are_limited_by_the_budget(self):
        harness = CoreHarness(
            {1: [LOW, HIGH], 2: [LOW, HIGH]}, builders.traffic_class(extra_load=0.5)
        )
        harness.start()
        self.assertEqual(1, len(harness.sends(harness.core.tick(30.0))))
        self.assertEqual([], harness.sends(harness.core.tick(100.0)))

    def test_one_extra_sub_query_per_interval_needs_no_token(self):
        traffic = builders.traffic_class(extra_load=0.0)
        harness = CoreHarness({1: [LOW, HIGH], 2: [LOW, HIGH]}, traffic)
        passed = []
        for number in range(1, 61):
            now_ms = 100.0 * number
            harness.start(now_ms, number)
            passed += [now_ms] * len(harness.sends(harness.core.tick(now_ms + 30.0)))
            harness.core.abandon(number, now_ms + 40.0)
        self.assertEqual([2100.0, 4100.0], passed)

    def test_slower_attempt_is_cancelled_and_its_answer_ignored(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)], 2: [(1, 0, builders.KEYS)]})
        first = harness.sends(harness.start())[0]
        hedge = harness.sends(harness.core.tick(30.0))[0]
        effects = harness.answer(hedge, 35.0)
        self.assertEqual([(1, first[0], first[1])], cancels(effects))
        (answer,) = all_answers(effects)
        self.assertEqual((1, 1, 1.0), (answer.stats.base, answer.stats.hedges, answer.coverage))
        self.assertEqual([], harness.answer(first, 36.0))

    def test_straggler_that_is_always_cancelled_is_avoided(self):
        harness = CoreHarness({n: [(1, 0, builders.KEYS)] for n in (1, 2)})
        now_ms, asked = 0.0, []
        for number in range(1, 21):
            row = harness.sends(harness.start(now_ms, number))[0]
            asked.append(row[2])
            answered_ms = now_ms + 15.0
            if row[2] == 1:
                row = harness.sends(harness.core.tick(now_ms + 30.0))[0]
                answered_ms = now_ms + 45.0
            reply = builders.reply(
                (
                    number,
                    row[0],
                    row[1],
                    SubCode.ANSWERED,
                    0,
                    builders.answer_body(1, row[3], row[4]),
                )
            )
            self.assertEqual(1, len(all_answers(harness.core.on_reply("r2", reply, answered_ms))))
            now_ms += 50.0
        self.assertLessEqual(asked.count(1), 1)

    def test_failed_primary_leaves_its_hedge_running(self):
        harness = CoreHarness({n: [(1, 0, builders.KEYS)] for n in (1, 2, 3)})
        first = harness.sends(harness.start())[0]
        hedge = harness.sends(harness.core.tick(30.0))[0]
        self.assertEqual([], harness.answer(first, 31.0, SubCode.BROKEN))
        self.assertIsInstance(harness.answer(hedge, 32.0)[0], Answer)


class RedirectTest(unittest.TestCase):
    def test_refusal_without_load_is_resent_without_a_token(self):
        for outcome in NOT_EXTRA_LOAD:
            with self.subTest(outcome):
                harness = CoreHarness({1: [(1, 0, builders.KEYS)], 2: [(1, 0, builders.KEYS)]})
                first = harness.sends(harness.start())[0]
                before = harness.tokens()
                second = harness.sends(harness.answer(first, outcome=outcome))[0]
                self.assertNotEqual(first[2], second[2])
                self.assertEqual(before, harness.tokens())
                (answer,) = all_answers(harness.answer(second, 12.0))
                self.assertEqual((1, 0), (answer.stats.redirects, answer.stats.retries))

    def test_refusal_with_load_spends_a_token(self):
        for outcome in (SubCode.SHED, SubCode.BROKEN, SubCode.QUEUE_FULL, SubCode.DEADLINE):
            with self.subTest(outcome):
                harness = CoreHarness({1: [(1, 0, builders.KEYS)], 2: [(1, 0, builders.KEYS)]})
                first = harness.sends(harness.start())[0]
                self.assertEqual(1, len(harness.sends(harness.answer(first, outcome=outcome))))
                self.assertEqual(0.0, harness.tokens())

    def test_redirected_retry_keeps_its_token(self):
        harness = CoreHarness({n: [(1, 0, builders.KEYS)] for n in (1, 2, 3, 4)})
        first = harness.sends(harness.start())[0]
        retry = harness.sends(harness.answer(first, outcome=SubCode.BROKEN))[0]
        third = harness.sends(harness.answer(retry, 11.0, SubCode.DRAINING))[0]
        self.assertEqual(0.0, harness.tokens())
        self.assertEqual([], harness.sends(harness.answer(third, 12.0, SubCode.BROKEN)))

    def test_new_owner_is_asked_after_the_old_one_refused(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]})
        first = harness.sends(harness.start())[0]
        refused = builders.reply((1, first[0], first[1], SubCode.WRONG_RECEIVER, 0, b""))
        harness.relays[1] = RelayTarget("r9", 2)
        effects = harness.core.on_reply("r1", refused, 5.0)
        self.assertEqual(["r9"], [e.relay for e in effects if isinstance(e, SendBatch)])

    def test_sub_queries_of_a_lost_relay_are_resent(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)], 2: [(1, 0, builders.KEYS)]})
        first = harness.sends(harness.start())[0]
        again = harness.sends(harness.core.on_relay_lost(f"r{first[2]}", 5.0))
        self.assertEqual(1, len(again))
        self.assertNotEqual(first[2], again[0][2])

    def test_draining_searcher_gets_no_sub_queries(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)], 2: [(1, 0, builders.KEYS)]})
        harness.core.on_report(UpstreamReport((1,), (UpstreamState.DRAINING,), (0,), (0,), (2,)))
        self.assertEqual([2], [row[2] for row in harness.sends(harness.start())])


class WaitTest(unittest.TestCase):
    def shed_all(self, harness, wait_ms=20):
        for row in harness.sends(harness.start()):
            while row is not None:
                rows = harness.sends(harness.answer(row, 1.0, SubCode.SHED, wait_ms))
                row = rows[0] if rows else None

    def test_replicas_that_all_shed_are_retried_after_the_delay(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]}, builders.traffic_class(extra_load=1.0))
        self.shed_all(harness)
        self.assertEqual([], harness.sends(harness.core.tick(20.0)))
        self.assertEqual(1, len(harness.sends(harness.core.tick(21.0))))

    def test_part_is_given_up_if_its_retry_would_miss_the_deadline(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]})
        row = harness.sends(harness.start())[0]
        (short,) = all_answers(harness.answer(row, 1.0, SubCode.SHED, 500))
        self.assertEqual(["shed"], [missing.why for missing in short.answer.missing])

    def test_retry_that_cannot_be_sent_keeps_its_token(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]})
        self.shed_all(harness)
        harness.relays.clear()
        before = harness.tokens()
        for now_ms in range(21, 100, 5):
            harness.core.tick(float(now_ms))
        self.assertEqual(before, harness.tokens())

    def test_waiting_parts_share_scheduled_checks(self):
        spans = [(1, lo, lo + 1024) for lo in range(0, builders.KEYS, 1024)]
        harness = CoreHarness({1: spans}, builders.traffic_class(extra_load=0.0), hedging=True)
        self.shed_all(harness)
        for now_ms in range(20, 100):
            harness.core.tick(float(now_ms))
            self.assertLessEqual(len(harness.core._state.open.due), 4)

    def test_waiting_parts_are_retried_without_hedging_too(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]}, hedging=False)
        self.shed_all(harness)
        target = harness.relays.pop(1)
        harness.core.tick(21.0)
        harness.relays[1] = target
        self.assertLess(harness.core.next_due_ms(), 30.0)
        self.assertEqual(1, len(harness.sends(harness.core.tick(harness.core.next_due_ms()))))


class VersionTest(unittest.TestCase):
    def test_version_that_is_gone_is_replaced_and_never_mixed(self):
        harness = CoreHarness({1: [LOW, HIGH], 2: [(2, *LOW[1:]), (2, *HIGH[1:])]})
        harness.catalog.on_state(2, UpstreamState.DOWN)
        low, high = harness.sends(harness.start())
        harness.catalog.on_state(2, UpstreamState.READY)
        harness.answer(low, 5.0)
        again = harness.sends(harness.answer(high, 6.0, SubCode.VERSION_GONE))
        self.assertEqual([2, 2], [row[2] for row in again])
        self.assertEqual([], harness.answer(low, 7.0))
        harness.version = 2
        harness.answer(again[0], 8.0)
        (answer,) = all_answers(harness.answer(again[1], 9.0))
        self.assertEqual((2, 1.0, 2), (answer.version, answer.coverage, answer.stats.retries))
        spans = [LOW[1:], HIGH[1:]]
        self.assertEqual(builders.best_hits(2, spans), list(answer.hits))

    def test_version_with_lower_coverage_does_not_replace_a_better_one(self):
        quarters = [(1, lo, lo + HALF // 2) for lo in range(0, builders.KEYS, HALF // 2)]
        harness = CoreHarness({1: quarters, 2: [(2, 0, HALF // 2)]})
        rows = harness.sends(harness.start())
        effects = harness.answer(rows[0], 5.0, SubCode.VERSION_GONE)
        self.assertEqual([], harness.sends(effects))
        for row in rows[1:]:
            effects = harness.answer(row, 6.0)
        (answer,) = all_answers(effects)
        self.assertEqual((1, "version-gone"), (answer.version, answer.missing[0].why))

    def test_late_replan_does_not_discard_sufficient_coverage(self):
        for now_ms, replans in ((50.0, True), (150.0, False)):
            with self.subTest(now_ms):
                held = {1: [LOW, HIGH], 2: [(2, 0, builders.KEYS)]}
                harness = CoreHarness(held, builders.traffic_class(least_coverage=0.4))
                harness.catalog.on_state(2, UpstreamState.DOWN)
                low, high = harness.sends(harness.start())
                harness.catalog.on_state(2, UpstreamState.READY)
                harness.answer(low, 5.0)
                effects = harness.answer(high, now_ms, SubCode.VERSION_GONE)
                self.assertEqual(replans, bool(harness.sends(effects)))
                self.assertEqual(not replans, bool(all_answers(effects)))

    def test_replanned_sub_queries_credit_no_tokens(self):
        harness = CoreHarness({1: [LOW, HIGH], 2: [(2, 0, builders.KEYS)]})
        harness.catalog.on_state(2, UpstreamState.DOWN)
        low, _ = harness.sends(harness.start())
        before = harness.tokens()
        harness.catalog.on_state(2, UpstreamState.READY)
        self.assertEqual(1, len(harness.sends(harness.answer(low, 5.0, SubCode.VERSION_GONE))))
        self.assertEqual(before, harness.tokens())


class RangeTest(unittest.TestCase):
    def test_a_range_that_was_split_is_asked_for_in_parts(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]})
        row = harness.sends(harness.start())[0]
        harness.catalog.on_holdings(builders.holding(1, []))
        for number, span in ((2, LOW), (3, HIGH)):
            harness.catalog.on_holdings(builders.holding(number, [span]))
            harness.relays[number] = RelayTarget(f"r{number}", 1)
        halves = harness.sends(harness.answer(row, 5.0, SubCode.RANGE_MOVED))
        self.assertEqual([LOW[1:], HIGH[1:]], sorted(half[3:] for half in halves))
        harness.answer(halves[0], 6.0)
        (answer,) = all_answers(harness.answer(halves[1], 7.0))
        self.assertEqual((1.0, ()), (answer.coverage, answer.missing))
        self.assertEqual(builders.best_hits(1, [LOW[1:], HIGH[1:]]), list(answer.hits))

    def test_partly_unannounced_range_is_listed_as_missing(self):
        harness = CoreHarness({1: [(1, 0, builders.KEYS)]})
        row = harness.sends(harness.start())[0]
        harness.catalog.on_holdings(builders.holding(1, []))
        harness.catalog.on_holdings(builders.holding(2, [LOW]))
        harness.relays[2] = RelayTarget("r2", 1)
        (short,) = all_answers(harness.answer(row, 5.0, SubCode.RANGE_MOVED))
        missing = [(m.lo, m.hi, m.why) for m in short.answer.missing]
        self.assertEqual([(0, builders.KEYS, "range-moved")], missing)


class EndTest(unittest.TestCase):
    def test_unattainable_coverage_is_a_shortfall_without_sub_queries(self):
        harness = CoreHarness({1: [LOW]}, builders.traffic_class(least_coverage=0.9))
        (short,) = harness.start()
        self.assertIsInstance(short, Shortfall)
        missing = [(m.lo, m.hi, m.why) for m in short.answer.missing]
        self.assertEqual([(*LOW[1:], "not-asked"), (*HIGH[1:], "no-replica")], missing)

    def test_coverage_that_becomes_unattainable_is_a_shortfall_and_cancels(self):
        harness = CoreHarness({1: [LOW], 2: [HIGH]}, builders.traffic_class(least_coverage=0.9))
        low, high = harness.sends(harness.start())
        effects = harness.answer(low, 5.0, SubCode.DRAINING)
        self.assertIsInstance(all_answers(effects)[0], Shortfall)
        self.assertEqual([(1, *high[:2])], cancels(effects))

    def test_deadline_answers_with_the_current_coverage(self):
        traffic = builders.traffic_class(least_coverage=0.4, prefers="coverage")
        harness = CoreHarness({1: [LOW], 2: [HIGH]}, traffic)
        low, _ = harness.sends(harness.start())
        harness.answer(low, 5.0)
        self.assertEqual([], all_answers(harness.core.tick(195.0)))
        (answer,) = all_answers(harness.core.tick(196.0))
        self.assertEqual(builders.count(*LOW), answer.covered_records)
        missing = [(m.lo, m.hi, m.records, m.why) for m in answer.missing]
        self.assertEqual([(*HIGH[1:], builders.count(*HIGH), "deadline")], missing)
        self.assertEqual(builders.best_hits(1, [LOW[1:]]), list(answer.hits))

    def test_latency_class_answers_with_minimum_coverage_from_half_the_deadline(self):
        for least, at_ms in ((0.4, 100.0), (0.9, 196.0)):
            traffic = builders.traffic_class(least_coverage=least)
            harness = CoreHarness({1: [LOW], 2: [HIGH]}, traffic)
            low, _ = harness.sends(harness.start())
            harness.answer(low, 5.0)
            self.assertEqual([], all_answers(harness.core.tick(at_ms - 1.0)))
            (found,) = all_answers(harness.core.tick(at_ms))
            self.assertEqual(least < 0.5, isinstance(found, Answer))

    def test_latency_class_answers_as_soon_as_minimum_coverage_is_reached_late(self):
        traffic = builders.traffic_class(least_coverage=0.4)
        harness = CoreHarness({1: [LOW], 2: [HIGH]}, traffic)
        low, _ = harness.sends(harness.start())
        self.assertEqual([], all_answers(harness.core.tick(120.0)))
        (answer,) = all_answers(harness.answer(low, 130.0))
        self.assertEqual(["deadline"], [missing.why for missing in answer.missing])

    def test_nothing_announced_is_a_shortfall_and_no_version(self):
        (short,) = CoreHarness({}).start()
        self.assertEqual((0, 0), (short.answer.version, short.answer.covered_records))

    def test_hits_of_equal_score_have_a_fixed_order(self):
        hits = {lo: [{"id": f"{lo}", "score": 0.5}] for lo in (0, HALF)}
        orders = []
        for flipped in (False, True):
            harness = CoreHarness({1: [LOW, HIGH]})
            rows = sorted(harness.sends(harness.start()), reverse=flipped)
            for row in rows:
                effects = harness.answer(row, hits=hits[row[3]])
            orders.append([hit["id"] for hit in all_answers(effects)[0].hits])
        self.assertEqual(orders[0], orders[1])


class ReplyTest(unittest.TestCase):
    def setUp(self):
        self.harness = CoreHarness({1: [(1, 0, builders.KEYS)]})
        self.row = self.harness.sends(self.harness.start())[0]
        self.body = builders.answer_body(1, 0, builders.KEYS)

    def test_replies_that_match_no_attempt_are_ignored(self):
        for relay, key in (
            ("r2", (1, 0, 0)),
            ("r1", (1, 0, 1)),
            ("r1", (1, 1, 0)),
            ("r1", (2, 0, 0)),
        ):
            with self.subTest(relay=relay, key=key):
                reply = builders.reply((*key, SubCode.ANSWERED, 0, self.body))
                self.assertEqual([], self.harness.core.on_reply(relay, reply, 5.0))
        self.assertEqual(1, len(all_answers(self.harness.answer(self.row, 6.0))))

    def test_duplicate_answer_in_a_batch_counts_once(self):
        row = (1, 0, 0, SubCode.ANSWERED, 0, self.body)
        (answer,) = self.harness.core.on_reply("r1", builders.reply(row, row), 5.0)
        self.assertEqual(builders.count(1, 0, builders.KEYS), answer.covered_records)

    def test_malformed_answers_are_not_merged(self):
        deep = b"[" * 300 + b"]" * 300
        good = self.body
        for body in (
            b"",
            b"\xff",
            b"[]",
            b"null",
            good[:-1],
            good.replace(b'"version":1', b'"version":2'),
            good.replace(b'"lo":0', b'"lo":1'),
            good.replace(b'"hi":65536', b'"hi":65535'),
            good.replace(b'"records":', b'"records":1'),
            good.replace(b'"overhauls"', b'"others"'),
            builders.answer_body(1, 0, builders.KEYS, hits=None),
            builders.answer_body(1, 0, builders.KEYS, hits=[1]),
            builders.answer_body(1, 0, builders.KEYS, hits=[{"score": 1.0}]),
            builders.answer_body(1, 0, builders.KEYS, hits=[{"id": "a", "score": "1"}]),
            good.replace(b'"title":', b'"more":' + deep + b',"title":', 1),
        ):
            with self.subTest(body[:80]):
                harness = CoreHarness({1: [(1, 0, builders.KEYS)]}, hedging=False)
                row = harness.sends(harness.start())[0]
                effects = harness.answer(row, 195.0, body=body or b" ")
                (short,) = all_answers(effects)
                self.assertIsInstance(short, Shortfall)
                self.assertEqual(["broken"], [missing.why for missing in short.answer.missing])


if __name__ == "__main__":
    unittest.main()
