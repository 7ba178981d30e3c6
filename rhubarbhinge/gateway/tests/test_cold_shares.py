"""The rate of cold searchers, shared by entries that exchange no counts."""

import random
import unittest

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from rhubarbhinge.fleet import Fleet, Searcher, best_searcher
from rhubarbhinge.gateway._cold_shares import JOINED_MS, ColdShares
from rhubarbhinge.gateway.tests.simulated_cold import MOST, RULE, WARMUP_MS, ColdWorld, Plan
from rhubarbhinge.members import Member, Membership, PublishedStatus
from rhubarbhinge.members.tests.simulated import even_domains
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing_revisions import at

COLD = Searcher("i-1", "shard", "10.0.0.1", 80, "hall-a", 2, warmup_ms=3_000.0)
WARM = Searcher("i-2", "shard", "10.0.0.2", 80, "hall-b", 2)

PHASES = (Phase.explicit, Phase.generate)
"""Examples are not shrunk: one of a fleet takes seconds."""
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("kill", "restart", "freeze", "thaw", "cut", "one-way", "heal", "join")),
        st.integers(0, 40),
        st.integers(50, 4_000),
    ),
    max_size=8,
)


class ColdSharesTest(unittest.TestCase):
    def setUp(self):
        self.timers = FakeTimers()
        self.fleet = Fleet(self.timers.now_ms, lambda observed: None)

    def shares(self, domain: str = "hall-a", per_s: float = 12.0) -> ColdShares:
        me = Member("vm-1", "10.0.0.1", domain, 1)
        membership = Membership(
            self.timers,
            me,
            (),
            random.Random(1),
            lambda ip, heartbeat: None,
            lambda: PublishedStatus(at(1), 0.0),
        )
        for number, other in ((2, "hall-a"), (3, "hall-a"), (4, "hall-b")):
            membership._apply(Member(f"vm-{number}", f"10.0.0.{number}", other, number))
        return ColdShares(Plan(per_s), membership, lambda: RULE, self.timers.now_ms)

    def put(self, searcher: Searcher):
        self.fleet.put(searcher)
        return next(one for one in self.fleet.all() if one.searcher == searcher)

    def granted(self, shares: ColdShares, observed, most: int = 50) -> int:
        """Send as often as allowed at one moment."""
        count = 0
        while count < most and shares.may_send(observed, self.timers.now_ms()):
            observed.on_sent(count, self.timers.now_ms())
            observed.on_written(count, self.timers.now_ms())
            count += 1
        return count

    def test_the_entries_of_its_domain_share_what_a_cold_searcher_bears(self):
        shares = self.shares()
        self.timers.advance(JOINED_MS)
        observed = self.put(COLD)
        self.assertEqual(self.granted(shares, observed), MOST // 3)
        self.timers.advance(1_000.0)
        self.assertEqual(self.granted(shares, observed), 0)
        self.timers.advance(100.0)
        self.assertEqual(self.granted(shares, observed), MOST // 3)
        self.timers.advance(2_000.0)
        self.assertEqual(self.granted(shares, observed), 50)

    def test_entries_of_other_domains_leave_it_alone(self):
        shares = self.shares("hall-c")
        self.timers.advance(JOINED_MS)
        observed = self.put(COLD)
        self.assertEqual(self.granted(shares, observed), 0)
        found = best_searcher(
            [observed, self.put(WARM)],
            lambda one, typical_ms, now_ms: 1.0 if one is observed else 2.0,
            20.0,
            self.timers.now_ms(),
            may_send=shares.may_send,
        )
        self.assertEqual(found.searcher, WARM)

    def test_without_a_rate_nothing_is_limited(self):
        shares, observed = self.shares(per_s=0.0), self.put(COLD)
        self.assertEqual(self.granted(shares, observed), 50)

    def test_warm_searchers_are_not_limited(self):
        self.assertEqual(self.granted(self.shares(), self.put(WARM)), 50)

    def test_a_process_that_has_just_started_leaves_cold_searchers_alone(self):
        shares = self.shares()
        self.timers.advance(JOINED_MS - 100.0)
        observed = self.put(COLD)
        self.assertEqual(self.granted(shares, observed), 0)

    def test_one_that_became_cold_after_it_was_used_rests_for_a_second(self):
        shares, observed = self.shares(), self.put(
            Searcher("i-1", "shard", "10.0.0.1", 80, "hall-a", 2)
        )
        self.timers.advance(JOINED_MS)
        self.granted(shares, observed, 5)
        observed.warm_at_ms = self.timers.now_ms() + 3_000.0
        self.assertEqual(self.granted(shares, observed), 0)
        self.timers.advance(1_100.0)
        self.assertEqual(self.granted(shares, observed), MOST // 3)

    def test_one_that_is_used_again_counts_as_cold_until_it_would_have_told(self):
        shares = self.shares()
        for returns in (self.reached_again, self.evacuation_over):
            with self.subTest(returns.__name__):
                observed = self.put(Searcher("i-3", "shard", "10.0.0.3", 80, "hall-a", 2))
                self.timers.advance(JOINED_MS)
                returns(observed)
                self.assertEqual(self.granted(shares, observed), MOST // 3)
                self.timers.advance(WARMUP_MS + 2_600.0)
                self.assertEqual(self.granted(shares, observed), 50)
                self.fleet.remove("i-3")

    def reached_again(self, observed) -> None:
        observed.on_unreachable()
        observed.on_connected(self.timers.now_ms())

    def evacuation_over(self, observed) -> None:
        self.fleet.set_evacuated("hall-a", True)
        self.timers.advance(2_000.0)
        self.fleet.set_evacuated("hall-a", False)


class Schedule:
    """Carries out drawn steps.

    :param world: entries that send as often as they may.
    :param added: names of entries that may join, by failure domain.
    """

    def __init__(self, world: ColdWorld, added: list[str]):
        self.world = world
        self.added = added
        self.names = [name for name in world.senders if name not in added]

    def step(self, kind: str, place: int) -> None:
        node = self.world.senders[self.names[place % len(self.names)]].node
        fleet = self.world.entries
        inside = {one.ip for one in fleet.nodes.values() if one.domain == node.domain}
        if kind == "kill":
            node.kill()
        elif kind == "restart":
            node.kill()
            self.world.start(node.name)
        elif kind == "join" and self.added:
            self.world.start(self.added.pop())
        elif kind == "freeze":
            node.freeze()
        elif kind == "thaw" and node.frozen:
            node.thaw()
            self.world.senders[node.name].shares.on_pause()
        elif kind == "cut":
            fleet.is_blocked = lambda from_ip, to_ip: (from_ip in inside) != (to_ip in inside)
        elif kind == "one-way":
            fleet.is_blocked = lambda from_ip, to_ip: to_ip == node.ip
        elif kind == "heal":
            fleet.is_blocked = lambda from_ip, to_ip: False


class ScheduleTest(unittest.TestCase):
    # Found: two processes that had not heard of each other 1.3 s after their start.
    @example([("freeze", 0, 5_000)], 10, 6)
    # Found: one that started while it could send and not hear.
    @example([("one-way", 0, 3_662), ("restart", 0, 9_000)], 5, 9)
    @settings(derandomize=True, deadline=None, database=None, max_examples=15, phases=PHASES)
    @given(STEPS, st.integers(0, 1 << 30), st.sampled_from((6, 9, 15, 66)))
    def test_no_cold_searcher_gets_more_than_it_bears(self, steps, seed, members):
        domains = even_domains(members, 3)
        added = [f"vm-added-{number}" for number in range(3)]
        domains["hall-0"] += added
        world = ColdWorld(domains, seed)
        world.start_all(but=added)
        world.entries.advance(JOINED_MS + 500.0)
        schedule = Schedule(world, added)
        for kind, place, pause_ms in steps:
            schedule.step(kind, place)
            world.entries.advance(float(pause_ms))
        world.entries.advance(1_500.0)
        self.assertLessEqual(world.most_in_a_second(), MOST)
        # The rate is used: an entry of each domain may send.
        self.assertTrue(all(world.sent_ms.values()))
