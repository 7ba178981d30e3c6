"""Property tests of the query core: every answer is complete, correct and in time."""

import unittest

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from rhubarbhinge.history import covered_ranges, one_snapshot, own_answer, true_coverage
from rhubarbhinge.query import QueryPolicy, Shortfall
from rhubarbhinge.query.tests.builders import best_hits
from rhubarbhinge.query.tests.schedule import CLASSES, POLICIES, START_MS, Schedule
from standins import records

STEPS = ("start",) * 5 + ("wait",) * 5 + ("abandon", "publish", "drop", "split", "merge", "move")
STEPS += ("drain", "lose_relay", "pause")
STEP = st.tuples(st.sampled_from(STEPS), st.integers(0, 11), st.integers(0, 11))
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    phases=[Phase.generate],  # Shrinking a failing schedule takes minutes.
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


def run_schedule(seed: int, fault_rate: float, policy: QueryPolicy, steps: list) -> Schedule:
    schedule = Schedule(seed, fault_rate, policy)
    for name, first, second in steps:
        getattr(schedule, name)(first, second)
    schedule.run(1_000)
    return schedule


def snapshot_of(hit: dict) -> tuple[str, int]:
    collection, version, _ = hit["id"].split(".")
    return collection, int(version)


class ScheduleTest(unittest.TestCase):
    @SETTINGS
    @given(
        st.integers(0, 2**32),
        st.sampled_from((0.0, 0.1, 0.4)),
        st.sampled_from(POLICIES),
        st.lists(STEP, min_size=10, max_size=50),
    )
    def test_every_answer_is_complete_correct_and_in_time(self, seed, fault_rate, policy, steps):
        schedule = run_schedule(seed, fault_rate, policy, steps)
        self.assertEqual([], own_answer(schedule.events, self.is_own(schedule)))
        self.assertEqual([], one_snapshot(schedule.events, snapshot_of))
        self.assertEqual([], true_coverage(schedule.events, records.record_count))
        for event in schedule.events:
            if event["event"] == "answered":
                self.check_answer(schedule, event)
        self.check_budget(schedule)
        self.check_nothing_is_left(schedule)

    def is_own(self, schedule):
        def check(asked, answered):
            text = schedule.requests[asked["request"]].text
            hits = answered["body"].get("hits", ())
            return all(hit["title"].startswith(f"{text}:") for hit in hits)

        return check

    def check_answer(self, schedule, event):
        request = schedule.requests[event["request"]]
        effect, coverage = event["effect"], event["body"]["coverage"]
        short = coverage["records"] < request.traffic_class.least_coverage * max(
            1, coverage["total_records"]
        )
        self.assertEqual(short, isinstance(effect, Shortfall))
        if not short:
            spans = covered_ranges(coverage["missing"])
            wanted = best_hits(effect.version, spans, request.text, request.limit)
            self.assertEqual(wanted, event["body"]["hits"])

    def check_budget(self, schedule):
        """Resends are extra load unless the previous attempt was not run or was lost."""
        sends = {}
        for call_id, part, _ in schedule.sent:
            sends[call_id, part] = sends.get((call_id, part), 0) + 1
        for traffic in CLASSES:
            extra = sum(
                max(0, number - schedule.refused[key] - 1)
                for key, number in sends.items()
                if schedule.requests[key[0]].traffic_class is traffic
            )
            floor = (schedule.now_ms - START_MS) // QueryPolicy().floor_interval_ms
            self.assertLessEqual(extra, schedule.credited[traffic.name] + floor + 1e-6)

    def check_nothing_is_left(self, schedule):
        core = schedule.core
        self.assertEqual(set(schedule.sent), schedule.ended & set(schedule.sent))
        self.assertEqual(
            (0, {}, []),
            (core.in_flight(), core._state.open.call_id_by_request, core._state.open.due),
        )
        self.assertEqual(
            {0}, {stats.outstanding for stats in core._state.scores._stats.values()} | {0}
        )


if __name__ == "__main__":
    unittest.main()
