"""Tests that each checker accepts valid histories and detects every kind of violation."""

import tempfile
import unittest
from pathlib import Path

from rhubarbhinge.history import (
    at_most_once,
    drain_bound,
    graceful_stop,
    monotonic_config,
    one_snapshot,
    own_answer,
    read_events,
    true_coverage,
)

HALF_KEYS = 32_768
ALL_KEYS = 65_536


def event(name, at_ms=0.0, **fields):
    return {"event": name, "at_ms": at_ms, **fields}


def answered(request, body=None, whole=True, at_ms=10.0):
    return event("answered", at_ms, request=request, body=body or {}, whole=whole)


def count_records(_collection, version, lo, hi):
    # One record for every two keys.
    return (hi - lo) // 2 if version else 0


def snapshot_of(hit):
    collection, version, _ = hit["id"].split(".")
    return collection, int(version)


def body_with_coverage(
    records=HALF_KEYS // 2,
    fraction=0.5,
    total=HALF_KEYS,
    missing=((HALF_KEYS, ALL_KEYS, None),),
    **other,
):
    missing_ranges = [
        dict(zip(("lo", "hi", "records"), missing_range, strict=True)) for missing_range in missing
    ]
    coverage = {
        "records": records,
        "fraction": fraction,
        "total_records": total,
        "missing": missing_ranges,
    }
    return {"snapshot": {"collection": "c", "version": 4}, "coverage": coverage, **other}


def served(lo, hi, version=4):
    return event("served", request=1, collection="c", version=version, lo=lo, hi=hi)


class CheckerTest(unittest.TestCase):
    def assertRules(self, rules, found):
        self.assertEqual(rules, [violation.rule for violation in found])

    def test_one_snapshot(self):
        for hits, rules in (
            ((), []),
            (("c.4.1", "c.4.2"), []),
            (("c.4.1", "c.5.2"), ["mixed-snapshot"]),
            (("d.4.1",), ["mixed-snapshot"]),
        ):
            with self.subTest(hits):
                body = body_with_coverage(hits=[{"id": name} for name in hits])
                self.assertRules(rules, one_snapshot([answered(1, body)], snapshot_of))

    def test_true_coverage(self):
        half = ((HALF_KEYS, ALL_KEYS, HALF_KEYS // 2),)
        for body, rules in (
            (body_with_coverage(), []),
            (body_with_coverage(missing=half), []),
            (body_with_coverage(HALF_KEYS, 1.0, missing=()), []),
            (body_with_coverage(records=HALF_KEYS // 2 + 1), ["coverage-overstated"]),
            (body_with_coverage(fraction=0.500001), ["coverage-overstated"]),
            (
                body_with_coverage(missing=((HALF_KEYS - 2, ALL_KEYS, None),)),
                ["coverage-overstated"],
            ),
            (body_with_coverage(records=HALF_KEYS // 2 - 1), ["coverage-understated"]),
            (body_with_coverage(fraction=0.499999), ["coverage-understated"]),
            (body_with_coverage(total=HALF_KEYS - 1), ["total-misstated"]),
            (
                body_with_coverage(missing=((HALF_KEYS, ALL_KEYS, 7),)),
                ["missing-misstated"],
            ),
            (body_with_coverage(missing=half + half), ["missing-ranges-overlap"]),
        ):
            with self.subTest(str(body)):
                self.assertRules(rules, true_coverage([answered(1, body)], count_records))

    def test_true_coverage_requires_served_ranges_at_the_stated_version(self):
        for ranges, rules in (
            ([(0, HALF_KEYS, 4)], []),
            ([(100, HALF_KEYS, 4), (0, 200, 4)], []),
            ([(0, HALF_KEYS, 5)], ["covered-not-served"]),
            ([(0, 100, 4), (200, HALF_KEYS, 4)], ["covered-not-served"]),
        ):
            with self.subTest(ranges):
                events = [served(*key_range) for key_range in ranges] + [
                    answered(1, body_with_coverage())
                ]
                self.assertRules(rules, true_coverage(events, count_records))

    def test_own_answer(self):
        asked = [event("asked", request=1, text="a"), event("asked", request=2, text="b")]
        first, second = answered(1, {"text": "a"}), answered(2, {"text": "b"})
        for events, rules in (
            ([second, first], []),
            ([first], ["not-answered"]),
            ([first, second, second], ["answered-twice"]),
            ([answered(1, {"text": "b"}), second], ["answer-of-another"]),
            ([answered(1, {"text": "a"}, whole=False), second], ["answer-cut"]),
            ([first, second, answered(3)], ["never-asked"]),
        ):
            with self.subTest(rules):
                found = own_answer(
                    asked + events,
                    lambda asked_event, answered_event: asked_event["text"]
                    == answered_event["body"]["text"],
                )
                self.assertRules(rules, found)

    def test_at_most_once(self):
        valid = [
            event("run", ticket="t"),
            answered(1, {"outcome": "ran", "ticket": "t"}),
            answered(2, {"outcome": "refused_not_run", "ticket": "u"}),
            answered(3, {"outcome": "unknown", "ticket": "t"}),
        ]
        entry = [event("mint", ticket="t"), event("send", ticket="t"), event("mint", ticket="u")]
        for violating, rules in (
            ([], []),
            ([event("run", ticket="t")], ["ran-twice"]),
            ([event("run", ticket="u")], ["refused-but-ran"]),
            ([answered(4, {"outcome": "ran", "ticket": "v"})], ["answered-without-run"]),
        ):
            with self.subTest(rules):
                self.assertRules(rules, at_most_once(valid + violating))
                refused_but_ran = [rule for rule in rules if rule == "refused-but-ran"]
                found = at_most_once(entry + valid + violating)
                self.assertRules(["ran-unsent"] * len(refused_but_ran) + rules, found)
        second_send = [event("send", ticket="t")]
        self.assertRules(["sent-twice"], at_most_once(entry + second_send + valid))

    def test_drain_bound(self):
        def arrival(name, at_ms):
            return event(name, at_ms, searcher="s", arrived_ms=at_ms)

        drain = event("drain", 10.0, searcher="s")
        drain_undone = event("drain-undone", 3_000.0, searcher="s")
        refuse = event("refuse", 1_500.0, searcher="s", code="draining")
        for events, rules in (
            ([arrival("search", 5.0), drain, arrival("search", 1_000.0)], []),
            ([drain, drain | {"at_ms": 900.0}, arrival("run", 1_500.0)], ["work-after-drain"]),
            ([drain, arrival("search", 1_500.0)], ["work-after-drain"]),
            ([drain, drain_undone, arrival("search", 4_000.0)], []),
            ([drain, refuse], ["work-after-drain"]),
            ([drain, refuse | {"code": "deadline"}], []),
        ):
            with self.subTest(events):
                self.assertRules(rules, drain_bound(events, 1_000.0))

    def test_graceful_stop(self):
        before = event("asked", 1.0, request=1, node="n")
        after = event("asked", 9.0, request=2, node="n")
        stop, end = event("stop", 5.0, node="n"), event("end", 20.0, node="n")
        for events, rules in (
            ([before, stop, after, answered(1), end], []),
            ([before, stop, end], ["cut-at-stop"]),
            ([before, stop, answered(1, whole=False), end], ["cut-at-stop"]),
            ([before, stop, answered(1)], ["did-not-end"]),
            ([before, answered(1)], []),
        ):
            with self.subTest(events):
                self.assertRules(rules, graceful_stop(events))

    def test_monotonic_config(self):
        def incarnation_event(name, at_ms, incarnation=1, **fields):
            return event(name, at_ms, node="n", incarnation=incarnation, **fields)

        def adopt(at_ms, revision, incarnation=1):
            return incarnation_event("adopt", at_ms, incarnation, key="rules", revision=revision)

        publish = event("publish", 100.0, key="rules", revision=2)
        valid = [adopt(0.0, 1), incarnation_event("ready", 1.0), publish, adopt(200.0, 2)]
        late = event("tail", 9_000.0)
        restart = [incarnation_event("end", 300.0), incarnation_event("ready", 5_000.0, 2)]
        for events, rules in (
            ([*valid, late], []),
            ([*valid, adopt(250.0, 1), late], ["revision-fell"]),
            ([*valid[:3], adopt(3_000.0, 2), late], ["revision-late"]),
            ([*valid[:3], incarnation_event("end", 300.0), late], []),
            (
                [*valid, incarnation_event("end", 300.0), adopt(4_000.0, 2, 2), *restart[1:], late],
                [],
            ),
            (
                [*valid, incarnation_event("end", 300.0), adopt(4_000.0, 1, 2), *restart[1:], late],
                ["revision-late"],
            ),
        ):
            with self.subTest(events):
                self.assertRules(rules, monotonic_config(events, 1_000.0))

    def test_read_events_merges_by_time_and_ignores_an_incomplete_line(self):
        with tempfile.TemporaryDirectory() as folder:
            first, second = Path(folder, "a"), Path(folder, "b")
            first.write_text('{"event":"x","at_ms":1}\n{"event":"z","at_ms":3}\n')
            second.write_text('{"event":"y","at_ms":2}\n{"event":"cu')
            self.assertEqual("xyz", "".join(e["event"] for e in read_events([first, second])))


if __name__ == "__main__":
    unittest.main()
