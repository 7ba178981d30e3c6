"""The searcher's model, without a clock or a socket."""

import random
import unittest
from dataclasses import replace

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.http import Delivery
from standins.searcher import (
    Answer,
    Event,
    Holdings,
    RunRequest,
    Searcher,
    SearcherKnobs,
    SearchRequest,
)

SEARCH = SearchRequest("c1", "overhauls", 41, 0, 8192, "bearing", 3, 1000.0)
RUN = RunRequest("t1", "parts-order", {}, 1000.0)
HOLDINGS = Holdings({"overhauls": {41: ((0, 8192),)}})


def make(now_ms=0.0, **knobs):
    knobs = {"slots": 1, "queue_limit": 1, "median_ms": 10.0, **knobs}
    return Searcher("a", 1, SearcherKnobs(**knobs), HOLDINGS, random.Random(1), now_ms)


def answers(effects):
    return {
        effect.exchange: (effect.status, orjson.loads(effect.body or b"null"))
        for effect in effects
        if isinstance(effect, Answer)
    }


def events(effects):
    return [effect.event for effect in effects if isinstance(effect, Event)]


def ask(searcher, exchange, now_ms=0.0, **changes):
    request = replace(SEARCH, call=f"c{exchange}", **changes)
    return searcher.search(exchange, request, now_ms)


class SlotsTest(unittest.TestCase):
    def test_beyond_the_slots_waits_and_beyond_the_queue_is_shed(self):
        searcher = make()
        self.assertEqual(events(ask(searcher, 1)), ["search"])
        self.assertEqual(ask(searcher, 2), [])
        status, body = answers(ask(searcher, 3))[3]
        self.assertEqual((status, body["code"], body["not_run"]), (503, "shed", True))
        self.assertEqual(body["retry_after_ms"], 50)
        self.assertEqual(list(answers(searcher.tick(10.0))), [1])
        self.assertEqual(searcher.next_due_ms(), 20.0)
        self.assertEqual(list(answers(searcher.tick(20.0))), [2])
        self.assertIsNone(searcher.next_due_ms())

    def test_past_deadline_is_not_started(self):
        searcher = make()
        effects = ask(searcher, 1, deadline_ms=0)
        self.assertEqual(answers(effects)[1], (504, {"code": "deadline"}))
        self.assertEqual(searcher.counters.started, 0)

    def test_waiting_past_its_deadline_is_not_started(self):
        searcher = make()
        ask(searcher, 1)
        ask(searcher, 2, deadline_ms=5)
        self.assertEqual(answers(searcher.tick(5.0))[2], (504, {"code": "deadline"}))
        self.assertEqual(searcher.counters.started, 1)

    def test_a_late_tick_does_not_start_what_is_past_its_deadline(self):
        searcher = make()
        ask(searcher, 1)
        ask(searcher, 2, deadline_ms=15)
        found = answers(searcher.tick(60.0))
        self.assertEqual([found[1][0], found[2][0]], [200, 504])
        self.assertEqual(searcher.counters.started, 1)

    def test_executing_ends_at_its_deadline(self):
        searcher = make()
        ask(searcher, 1, deadline_ms=4)
        self.assertEqual(answers(searcher.tick(4.0))[1], (504, {"code": "deadline"}))
        self.assertEqual(searcher.counters.busy_ms, 4.0)

    def test_cancel_frees_the_slot(self):
        searcher = make()
        ask(searcher, 1)
        ask(searcher, 2)
        effects = searcher.cancel("c1", 3.0)
        self.assertEqual(events(effects), ["cancel", "search"])
        self.assertEqual(answers(effects)[1], (503, {"code": "cancelled"}))
        self.assertEqual(list(answers(searcher.tick(13.0))), [2])
        self.assertEqual(searcher.counters.cancelled, 1)

    def test_cancel_of_a_waiting_search(self):
        searcher = make()
        ask(searcher, 1)
        ask(searcher, 2)
        self.assertEqual(list(answers(searcher.cancel("c2", 1.0))), [2])
        self.assertEqual(list(answers(searcher.tick(50.0))), [1])

    def test_cancel_of_an_unknown_call_changes_nothing(self):
        searcher = make()
        ask(searcher, 1)
        self.assertEqual(answers(searcher.cancel("c9", 1.0)), {})

    def test_closed_connection_stops_a_search_but_no_action(self):
        searcher = make(slots=2)
        ask(searcher, 1)
        searcher.run(2, RUN, 0.0)
        self.assertEqual(events(searcher.abandon(1, 0.5)), ["abandon"])
        self.assertEqual(searcher.abandon(2, 0.5), [])
        self.assertEqual(events(searcher.tick(1.0)), ["done"])
        self.assertEqual(searcher.tickets, ["t1"])

    def test_action_that_waits_is_not_run_when_its_connection_closes(self):
        searcher = make()
        ask(searcher, 1)
        searcher.run(2, RUN, 0.0)
        self.assertEqual(events(searcher.abandon(2, 1.0)), ["abandon"])
        searcher.tick(50.0)
        self.assertEqual(searcher.tickets, [])


class ServiceTimeTest(unittest.TestCase):
    def due(self, searcher, now_ms):
        ask(searcher, 1, now_ms)
        return searcher.next_due_ms() - now_ms

    def test_cold_start_falls_to_normal(self):
        knobs = {"warm_ms": 100.0, "cold_factor": 5.0}
        self.assertEqual(self.due(make(**knobs), 0.0), 50.0)
        self.assertEqual(self.due(make(**knobs), 50.0), 30.0)
        self.assertEqual(self.due(make(**knobs), 100.0), 10.0)
        self.assertEqual(make(**knobs).health(50.0)["state"], "warming")
        self.assertEqual(make(**knobs).health(100.0)["state"], "ready")

    def test_straggler(self):
        self.assertEqual(self.due(make(straggle_factor=7.0), 0.0), 70.0)

    def test_log_normal_times_have_the_median(self):
        searcher = make(sigma=0.5, slots=2000)
        for exchange in range(2000):
            ask(searcher, exchange, deadline_ms=1e9)
        done = len(answers(searcher.tick(10.0)))
        self.assertTrue(900 < done < 1100, done)


class DrainTest(unittest.TestCase):
    def test_finishes_what_it_has_and_refuses_after_the_grace(self):
        searcher = make(slots=3, drain_grace_ms=5.0)
        ask(searcher, 1)
        effects = searcher.change(replace(searcher.knobs, draining=True), 1.0)
        self.assertEqual(events(effects), ["drain"])
        self.assertEqual(searcher.health(1.0)["state"], "draining")
        ask(searcher, 2, 5.0)
        status, body = answers(ask(searcher, 3, 6.0))[3]
        self.assertEqual((status, body["code"], body["not_run"]), (503, "draining", True))
        done = [effect for effect in searcher.tick(15.0) if isinstance(effect, Answer)]
        self.assertEqual([answer.status for answer in done], [200, 200])
        self.assertTrue(all(answer.draining for answer in done))


class HoldingsTest(unittest.TestCase):
    def test_version_gone_and_range_moved(self):
        searcher = make()
        self.assertEqual(answers(ask(searcher, 1, version=42))[1], (409, {"code": "version-gone"}))
        self.assertEqual(answers(ask(searcher, 2, hi=8193))[2], (409, {"code": "range-moved"}))
        self.assertEqual(events(ask(searcher, 3, lo=8, hi=16)), ["search"])

    def test_exact_ranges(self):
        searcher = make(exact_ranges=True)
        self.assertEqual(answers(ask(searcher, 1, hi=16))[1], (409, {"code": "range-moved"}))

    def test_adjacent_ranges_cover_what_spans_them(self):
        holdings = Holdings({"overhauls": {41: ((0, 10), (10, 20), (30, 40))}})
        self.assertIsNone(holdings.refusal("overhauls", 41, 5, 20))
        self.assertEqual(holdings.refusal("overhauls", 41, 5, 35), "range-moved")

    def test_version_dropped_beneath_a_running_search(self):
        searcher = make()
        ask(searcher, 1)
        searcher.hold(HOLDINGS.without_version("overhauls", 41), 1.0)
        self.assertEqual(answers(searcher.tick(10.0))[1], (409, {"code": "version-gone"}))

    def test_repartition_beneath_a_running_search(self):
        searcher = make()
        ask(searcher, 1)
        searcher.hold(HOLDINGS.repartitioned("overhauls", ((0, 4096),)), 1.0)
        self.assertEqual(answers(searcher.tick(10.0))[1], (409, {"code": "range-moved"}))


class HealthTest(unittest.TestCase):
    def test_lags(self):
        searcher = make(health_lag_ms=100.0)
        ask(searcher, 1, 50.0)
        new = HOLDINGS.with_version("overhauls", 42, ((0, 8192),))
        searcher.hold(new, 60.0)
        self.assertEqual(searcher.health(149.0)["busy"], 0)
        self.assertEqual(searcher.health(150.0)["busy"], 1)
        self.assertEqual(list(searcher.health(159.0)["collections"]["overhauls"]), ["41"])
        self.assertEqual(list(searcher.health(160.0)["collections"]["overhauls"]), ["41", "42"])

    def test_misleads(self):
        searcher = make(health_state="ready", health_busy=0, draining=True, drain_grace_ms=9.0)
        ask(searcher, 1)
        health = searcher.health(1.0)
        self.assertEqual((health["state"], health["busy"]), ("ready", 0))


class FaultsTest(unittest.TestCase):
    def only(self, **knobs):
        searcher = make(**knobs)
        ask(searcher, 1)
        (answer,) = (item for item in searcher.tick(10.0) if isinstance(item, Answer))
        return answer

    def test_deliveries(self):
        self.assertEqual(self.only().delivery, Delivery.WHOLE)
        self.assertEqual(self.only(drop_answer_probability=1.0).delivery, Delivery.LOST)
        self.assertEqual(self.only(cut_answer_probability=1.0).delivery, Delivery.CUT_SHORT)
        self.assertEqual(self.only(duplicate_answer_probability=1.0).delivery, Delivery.TWICE)

    def test_wrong_call_and_version(self):
        other = orjson.loads(self.only(wrong_call_probability=1.0).body)
        self.assertEqual(other["call"], "c1.other")
        other = orjson.loads(self.only(wrong_version_probability=1.0).body)
        self.assertEqual(other["version"], 42)

    def test_delayed_answer_holds_no_slot(self):
        searcher = make(answer_delay_ms=100.0)
        ask(searcher, 1)
        ask(searcher, 2)
        self.assertEqual(answers(searcher.tick(10.0)), {})
        self.assertEqual(searcher.health(10.0)["busy"], 1)
        self.assertEqual(answers(searcher.tick(20.0)), {})
        self.assertEqual(searcher.health(20.0)["busy"], 0)
        self.assertEqual(list(answers(searcher.tick(110.0))), [1])
        self.assertEqual(list(answers(searcher.tick(120.0))), [2])

    def test_action_refused_as_not_run(self):
        searcher = make(run_refuse_probability=1.0)
        status, body = answers(searcher.run(1, RUN, 0.0))[1]
        self.assertEqual((status, body), (503, {"code": "refused", "not_run": True}))
        self.assertEqual(searcher.tickets, [])

    def test_action_past_its_deadline_is_refused_as_not_run(self):
        searcher = make()
        status, body = answers(searcher.run(1, replace(RUN, deadline_ms=0.0), 0.0))[1]
        self.assertEqual((status, body), (503, {"code": "deadline", "not_run": True}))

    def test_lost_action_is_in_the_history_before_its_answer(self):
        searcher = make(run_lose_probability=1.0)
        (event,) = searcher.run(1, RUN, 0.0)
        self.assertEqual((event.event, event.durable), ("run", True))
        (answer,) = (item for item in searcher.tick(1.0) if isinstance(item, Answer))
        self.assertEqual(answer.delivery, Delivery.LOST)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["search", "search", "run", "cancel", "abandon", "tick", "slots"]),
        st.integers(0, 15),
        st.integers(1, 12),
    ),
    max_size=60,
)


class InvariantsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(steps=STEPS)
    def test_slots_hold_and_each_request_ends_once(self, steps):
        searcher = make(slots=2, queue_limit=3, sigma=0.8)
        self.most_slots = 2
        self.open, self.executing = set(), set()
        self.runs = 0
        now_ms = 0.0
        for step, gap_ms, number in steps:
            now_ms += gap_ms
            self.check(searcher.tick(now_ms))
            self.check(self.take(searcher, step, number, now_ms))
        self.check(searcher.tick(now_ms + 1e6))
        self.assertEqual(self.open, set())
        figures = searcher.figures()
        self.assertEqual((figures["busy"], figures["waiting"]), (0, 0))

    def take(self, searcher, step, number, now_ms):
        if step == "search":
            exchange = f"s{searcher.counters.searches}"
            self.open.add(exchange)
            request = replace(SEARCH, call=exchange, deadline_ms=number * 5.0)
            return searcher.search(exchange, request, now_ms)
        if step == "run":
            self.runs += 1
            exchange = f"r{self.runs}"
            self.open.add(exchange)
            return searcher.run(exchange, replace(RUN, ticket=exchange), now_ms)
        if step == "slots":
            self.most_slots = 1 + number % 3
            return searcher.change(replace(searcher.knobs, slots=self.most_slots), now_ms)
        if step == "cancel":
            return searcher.cancel(f"s{number}", now_ms)
        if step == "abandon":
            effects = searcher.abandon(f"s{number}", now_ms)
            if effects:
                self.open.remove(f"s{number}")
            return effects
        return []

    def check(self, effects):
        for effect in effects:
            if isinstance(effect, Answer):
                self.open.remove(effect.exchange)
            elif effect.event in ("search", "run"):
                self.executing.add(effect.fields.get("call") or effect.fields["ticket"])
                self.assertLessEqual(len(self.executing), self.most_slots)
            else:
                named = effect.fields.get("call") or effect.fields.get("ticket")
                self.executing.discard(named)
