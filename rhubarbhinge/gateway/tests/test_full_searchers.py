"""Reports of full searchers between entries of a failure domain."""

import random
import unittest
from unittest import mock

from rhubarbhinge.fleet import Fleet, ObservedSearcher, Searcher, best_searcher, expected_cost
from rhubarbhinge.gateway._full_searchers import FullSearchers
from rhubarbhinge.gateway._heartbeat_extras import heartbeat_extras
from rhubarbhinge.members import FullSearcher, Heartbeat, decode_heartbeat, encode_heartbeat
from rhubarbhinge.utils.revision import Revision


class View:
    """The searchers as one entry observes them."""

    def __init__(self, clock: "FullSearchersTest", searchers: int = 2):
        self.fleet = Fleet(lambda: clock.now_ms, lambda observed: None)
        for place in range(searchers):
            self.fleet.put(Searcher(f"i-{place}", "shard", f"10.0.0.{place}", 80, "hall-a", 2))
        self.clock = clock
        self.full = FullSearchers(self.fleet, lambda: clock.now_ms)
        self.extras = heartbeat_extras(mock.Mock(), mock.Mock(), lambda: False, self.full)

    def observed(self, place: int = 0) -> ObservedSearcher:
        return list(self.fleet.of_service("shard"))[place]

    def refuse(self, times: int, place: int = 0) -> None:
        for attempt in range(times):
            self.observed(place).on_sent(attempt, self.clock.now_ms)
            self.observed(place).on_refused(attempt, self.clock.now_ms)

    def reply(self, place: int = 0) -> None:
        self.observed(place).on_sent(99, self.clock.now_ms)
        self.observed(place).on_reply(99, 20.0, 20.0, self.clock.now_ms)

    def share(self, place: int = 0) -> float:
        return self.observed(place).refusal_share(self.clock.now_ms)

    def tell(self, other: "View") -> None:
        heartbeat = Heartbeat(
            "vm-1", "hall-a", 1, 1, False, False, Revision(0, 1), 0.0, 0, {}, (), ()
        )
        sent = decode_heartbeat(encode_heartbeat(self.extras.add_to(heartbeat)))
        other.extras.on_received(sent)


class FullSearchersTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 10_000.0
        self.one, self.two = View(self), View(self)

    def test_a_reported_searcher_costs_more_but_stays_in_use(self):
        """Load: one entry is refused; others would each need a refusal of their own to learn it."""
        self.one.refuse(4)
        self.one.tell(self.two)
        self.assertAlmostEqual(self.two.share(), self.one.share(), places=2)
        searchers = list(self.two.fleet.of_service("shard"))
        cost = expected_cost("hall-a", random.Random(1))
        chosen = {best_searcher(searchers, cost, 20.0, self.now_ms) for _ in range(20)}
        self.assertEqual(chosen, {searchers[1]})
        self.assertIs(best_searcher(searchers[:1], cost, 20.0, self.now_ms), searchers[0])
        self.assertFalse(searchers[0].is_avoided(self.now_ms))
        self.assertIsNone(searchers[0].send_window)
        self.assertEqual(self.two.full.applied, 1)

    def test_a_report_decays_from_its_age_and_is_dropped(self):
        """Guards against reports that outlive the observation, e.g. when their sender dies."""
        self.one.refuse(4)
        self.now_ms += 1_000.0
        self.one.tell(self.two)
        self.assertAlmostEqual(self.two.share(), self.one.share(), places=2)
        self.now_ms += 1_900.0
        self.assertGreater(self.two.share(), 0.0)
        self.now_ms += 100.0
        self.assertEqual(self.two.share(), 0.0)
        self.one.refuse(4)
        self.now_ms += 3_000.0
        self.one.tell(self.two)
        self.assertEqual(self.two.full.applied, 1)

    def test_a_lying_report_is_corrected_by_the_first_own_reply(self):
        lie = FullSearcher(self.two.observed().start.mark, 1_000, 0.0)
        self.two.full.receive([lie])
        self.assertEqual(self.two.share(), 1.0)
        self.two.reply()
        self.assertEqual(self.two.share(), 0.0)
        self.two.full.receive([lie])
        self.assertEqual(self.two.share(), 0.0)

    def test_where_views_differ_each_entry_trusts_its_own(self):
        """Guards against a searcher reachable by some only that others stop using."""
        for _ in range(20):
            self.one.refuse(1)
            self.two.reply()
            self.one.tell(self.two)
            self.two.tell(self.one)
            self.now_ms += 500.0
        self.assertGreater(self.one.share(), 0.5)
        self.assertEqual((self.two.share(), self.two.full.applied), (0.0, 0))

    def test_a_report_older_than_the_last_own_request_is_ignored(self):
        self.one.refuse(4)
        self.now_ms += 500.0
        self.two.reply()
        self.now_ms += 1_100.0
        self.one.tell(self.two)
        self.assertEqual(self.two.share(), 0.0)

    def test_reports_are_not_relayed(self):
        """Guards against reports that entries keep alive by telling each other."""
        self.one.refuse(4)
        self.one.tell(self.two)
        self.assertEqual(self.two.full.report(), ())
        self.two.refuse(1)
        self.assertAlmostEqual(self.two.share(), 0.2)
        self.assertEqual(self.two.full.report(), ())

    def test_the_most_refusing_are_reported_first_and_few_at_most(self):
        view = View(self, searchers=12)
        for place in range(12):
            view.refuse(place, place)
        reports = view.full.report()
        marks = [view.observed(place).start.mark for place in range(11, 3, -1)]
        self.assertEqual([one.mark for one in reports], marks)
        view.fleet.set_evacuated("hall-a", True)
        self.assertEqual(view.full.report(), ())

    def test_unknown_and_removed_searchers_are_ignored(self):
        """Guards against reports applied to another start of a searcher."""
        first = self.two.observed()
        mark = first.start.mark
        self.two.full.receive([FullSearcher(mark ^ 1, 900, 0.0)])
        self.two.fleet.put(Searcher("i-0", "shard", "10.0.0.9", 80, "hall-a", 2))
        self.assertIsNone(self.two.fleet.by_mark(mark))
        self.two.full.receive([FullSearcher(mark, 900, 0.0)])
        self.assertEqual(self.two.full.applied, 0)
        later = next(one for one in self.two.fleet.all() if one.searcher.ip == "10.0.0.9")
        self.assertIs(self.two.fleet.by_mark(later.start.mark), later)
        self.two.fleet.remove("i-0")
        self.assertIsNone(self.two.fleet.by_mark(later.start.mark))
