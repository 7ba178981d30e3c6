"""Tests of the runs recorded by the relay that accepts them and by the entry that sends them."""

import unittest

from rhubarbhinge.once import RunResults, SentRuns
from rhubarbhinge.wire import RunRequest


def request(ticket: str, relay: str = "a/relay", incarnation: int = 5, entry: int = 1):
    return RunRequest("a/entry", entry, relay, incarnation, ticket, "order", b"", 10)


class RunResultsTest(unittest.TestCase):
    def setUp(self):
        self.results = RunResults(keep_ms=100, most_kept_bytes=10)

    def end(self, ticket: str, payload: bytes = b""):
        return self.results.end(ticket, "ran", payload, 0)

    def test_result_is_returned_again(self):
        self.results.begin(request("t"), 0)
        self.assertTrue(self.results.is_open(request("t")))
        self.assertIsNone(self.results.result_of(request("t")))
        reply = self.end("t", b"done")
        self.assertEqual((1, "t", "ran", b"done"), _fields(reply))
        self.assertFalse(self.results.is_open(request("t")))
        self.assertEqual(reply, self.results.result_of(request("t")))

    def test_other_incarnation_of_the_entry_gets_no_result(self):
        self.results.begin(request("t"), 0)
        self.end("t")
        self.assertIsNone(self.results.result_of(request("t", entry=2)))

    def test_results_are_limited_by_age_and_size_and_open_runs_are_kept(self):
        for ticket in "abc":
            self.results.begin(request(ticket), 0)
        self.end("b", b"x" * 6)
        self.end("c", b"x" * 6)
        kept = [self.results.result_of(request(ticket)) is not None for ticket in "bc"]
        self.assertEqual([False, True], kept)
        self.assertEqual(["a"], self.results.open_tickets("a/entry"))
        self.results.begin(request("d"), 100)
        self.assertIsNone(self.results.result_of(request("c")))
        self.assertEqual(["d"], self.results.open_tickets("a/entry"))

    def test_withdrawn_run_is_accepted_again(self):
        self.results.begin(request("t"), 0)
        self.results.withdraw("t")
        self.assertFalse(self.results.is_open(request("t")))
        self.assertEqual([], self.results.open_tickets("a/entry"))


class SentRunsTest(unittest.TestCase):
    def setUp(self):
        self.sent = SentRuns()
        self.first, self.second = request("s"), request("t", incarnation=6)
        for each in (self.first, self.second):
            self.sent.add(each, keep_until_ms=50)

    def test_runs_are_resent_to_the_same_process_only(self):
        self.assertEqual([self.first], self.sent.of_relay("a/relay", 5))
        self.assertEqual([self.second], self.sent.of_relay("a/relay", 6))
        self.assertEqual([], self.sent.of_relay("b/relay", 5))
        self.assertEqual({("a/relay", 5), ("a/relay", 6)}, self.sent.relays())

    def test_only_the_relay_of_a_run_ends_it_once(self):
        ended = [self.sent.finish("s", name) for name in ("b/relay", "a/relay", "a/relay")]
        self.assertEqual([False, True, False], ended)

    def test_runs_without_a_result_are_removed_after_their_time(self):
        self.sent.remove_expired(49)
        self.assertEqual(2, len(self.sent.relays()))
        self.sent.remove_expired(50)
        self.assertEqual(set(), self.sent.relays())


def _fields(reply):
    return reply.entry_incarnation, reply.ticket, reply.kind, reply.result


if __name__ == "__main__":
    unittest.main()
