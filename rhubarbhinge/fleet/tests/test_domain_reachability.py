"""Detection of unreachable failure domains."""

import unittest

from rhubarbhinge.fleet import DomainReachability


class DomainReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 10_000.0
        self.suspected: list[str] = []
        self.reachability = DomainReachability(lambda: self.now_ms, self.suspected.append)

    def test_two_unreachable_hosts_make_their_domain_suspect(self):
        self.reachability.on_unreachable("hall-b", "10.0.0.1")
        self.assertEqual(self.suspected, [])
        self.now_ms += 400.0
        self.reachability.on_unreachable("hall-b", "10.0.0.2")
        self.assertEqual(self.suspected, ["hall-b"])

    def test_repeated_reports_of_one_host_count_once(self):
        for _ in range(5):
            self.reachability.on_unreachable("hall-b", "10.0.0.1")
        self.assertEqual(self.suspected, [])

    def test_hosts_of_different_domains_are_counted_separately(self):
        self.reachability.on_unreachable("hall-b", "10.0.0.1")
        self.reachability.on_unreachable("hall-c", "10.0.0.2")
        self.assertEqual(self.suspected, [])

    def test_a_domain_that_sends_data_is_not_suspected(self):
        self.reachability.on_unreachable("hall-b", "10.0.0.1")
        self.now_ms += 100.0
        self.reachability.on_heard("hall-b")
        self.now_ms += 100.0
        self.reachability.on_unreachable("hall-b", "10.0.0.2")
        self.assertEqual(self.suspected, [])
        self.now_ms += 400.0
        self.reachability.on_unreachable("hall-b", "10.0.0.3")
        self.assertEqual(self.suspected, ["hall-b"])

    def test_hosts_that_failed_outside_the_window_are_not_counted_together(self):
        self.reachability.on_unreachable("hall-b", "10.0.0.1")
        self.now_ms += 5_000.0
        self.reachability.on_unreachable("hall-b", "10.0.0.2")
        self.assertEqual(self.suspected, [])
