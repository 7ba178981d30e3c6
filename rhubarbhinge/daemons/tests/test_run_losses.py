"""Runs whose link is lost: each ends with what is known of it, and runs once at most."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rhubarbhinge.daemons.tests.simulated_runs import RUN_MS, World
from rhubarbhinge.once import OnceSettings

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow],
)
STEPS = ("show", "show", "cut", "connect", "connect", "hold", "release", "wait", "wait")
SCHEDULE = st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 7)), min_size=5, max_size=40)
WITH_RESTARTS = st.lists(
    st.tuples(st.sampled_from((*STEPS, "restart", "kill")), st.integers(0, 7)),
    min_size=5,
    max_size=40,
)
TICKETS = 4
_SETTLE_MS = 2_000.0


def play(schedule) -> World:
    world = World()
    tickets = [world.mint(number) for number in range(TICKETS)]
    world.connect()
    world.advance(100.0)
    callers = 0
    for step, number in schedule:
        match step:
            case "show":
                world.show(callers, *tickets[number % TICKETS])
                callers += 1
            case "cut":
                world.cut()
            case "connect":
                world.connect()
            case "hold" | "release":
                world.relay_held_up = step == "hold"
            case "restart":
                world.start_relay()
            case "kill":
                world.kill_relay()
        world.advance(10.0 * number)
    world.relay_held_up = False
    world.connect()
    world.advance(_SETTLE_MS)
    world.callers = callers
    return world


class RunLossesTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.ticket, self.body = self.world.mint(1)

    def link(self):
        self.world.connect()
        self.world.advance(100.0)

    def show(self):
        self.world.show(1, self.ticket, self.body)

    def test_a_run_that_was_not_read_is_sent_again_over_the_next_link(self):
        """Guards against a run told as unknown although no relay has read it."""
        self.link()
        self.world.relay_held_up = True
        self.show()
        self.world.advance(100.0)
        self.world.cut()
        self.world.relay_held_up = False
        self.assertIsNone(self.world.outcome(1))
        self.link()
        self.world.advance(2 * RUN_MS)
        self.assertEqual(("ran", [self.ticket]), (self.world.outcome(1), self.world.ran))

    def test_a_result_that_was_lost_with_the_link_is_told_over_the_next_one(self):
        """Guards against the loss of a result that is ready while there is no link."""
        self.link()
        self.show()
        self.world.advance(100.0)
        self.world.cut()
        self.world.advance(2 * RUN_MS)
        self.assertIsNone(self.world.outcome(1))
        self.link()
        self.assertEqual(("ran", [self.ticket]), (self.world.outcome(1), self.world.ran))

    def test_a_result_that_comes_after_the_link_is_back_is_told_once(self):
        self.link()
        self.show()
        self.world.advance(100.0)
        self.world.cut()
        self.link()
        self.world.advance(2 * RUN_MS)
        self.assertEqual(("ran", [self.ticket]), (self.world.outcome(1), self.world.ran))

    def test_a_queued_run_whose_entry_has_no_link_is_not_sent_until_it_has_one(self):
        self.link()
        others = [self.world.mint(number) for number in (2, 3, 4)]
        for number, (ticket, body) in enumerate(others, start=2):
            self.world.show(number, ticket, body)
        self.show()
        self.world.advance(50.0)
        self.world.cut()
        self.world.advance(3 * RUN_MS)
        self.assertNotIn(self.ticket, self.world.ran)
        self.link()
        self.world.advance(5 * RUN_MS)
        self.assertEqual({"ran"}, {self.world.outcome(number) for number in (1, 2, 3, 4)})
        self.assertEqual(4, len(set(self.world.ran)))
        self.assertEqual(4, len(self.world.ran))

    def test_a_relay_that_restarted_or_died_leaves_the_run_unknown_at_once(self):
        for loss in (self.world.start_relay, self.world.kill_relay):
            self.setUp()
            self.link()
            self.show()
            self.world.advance(100.0)
            getattr(self.world, loss.__name__)()
            self.world.connect()
            self.assertEqual("unknown", self.world.outcome(1))
            self.world.advance(2 * RUN_MS)
            self.assertEqual([self.ticket], self.world.ran)

    def test_a_run_without_a_linked_relay_waits_for_the_link(self):
        """Guards against a refusal while the link to a running relay is being opened."""
        self.show()
        self.world.advance(500.0)
        self.assertIsNone(self.world.outcome(1))
        self.link()
        self.world.advance(2 * RUN_MS)
        self.assertEqual(("ran", [self.ticket]), (self.world.outcome(1), self.world.ran))

    def test_a_run_is_refused_once_no_link_came_in_time(self):
        self.show()
        self.world.advance(5_000.0)
        self.assertEqual("refused_not_run", self.world.outcome(1))
        self.link()
        self.world.advance(2 * RUN_MS)
        self.assertEqual([], self.world.ran)

    def test_a_run_is_refused_at_once_where_no_relay_or_upstream_is_left(self):
        self.world.kill_relay()
        self.show()
        self.assertEqual("refused_not_run", self.world.outcome(1))
        self.setUp()
        for name in ("01", "02", "03"):
            self.world.drain(f"spare-parts-stores-tracker-{name}")
        self.show()
        self.assertEqual("refused_not_run", self.world.outcome(1))

    def test_without_a_link_the_outcome_is_unknown_at_the_deadline(self):
        self.link()
        self.show()
        self.world.advance(100.0)
        self.world.cut()
        self.world.advance(OnceSettings().run_ms)
        self.assertEqual("unknown", self.world.outcome(1))
        self.link()
        self.world.show(2, self.ticket, self.body)
        self.assertEqual("ran", self.world.outcome(2))
        self.assertEqual([self.ticket], self.world.ran)

    @SETTINGS
    @given(SCHEDULE)
    def test_while_the_relay_lives_each_run_runs_once_and_its_callers_know(self, schedule):
        world = play(schedule)
        told = {world.outcome(number) for number in range(world.callers)}
        self.assertLessEqual(told, {"ran"})
        self.assertEqual(len(set(world.ran)), len(world.ran))

    @SETTINGS
    @given(WITH_RESTARTS)
    def test_a_run_runs_once_at_most_and_never_after_a_refusal(self, schedule):
        world = play(schedule)
        self.assertEqual(len(set(world.ran)), len(world.ran))
        for number in range(world.callers):
            answer = world.answers.get(number)
            ran = answer is not None and answer["ticket"] in world.ran
            if answer is not None and answer["outcome"] != "unknown":
                self.assertEqual(answer["outcome"] == "ran", ran)


if __name__ == "__main__":
    unittest.main()
