"""Calls to the platform: which address is asked, and what its answers mean."""

import unittest

from rhubarbhinge.control import PlatformOutcome, PollPlatform
from rhubarbhinge.daemons._platformcalls import PlatformCalls
from rhubarbhinge.web import Failure, Reply

ADDRESSES = ("127.0.0.1:81", "127.0.0.1:82")


class Client:
    def __init__(self):
        self.calls = []

    def call(self, *where, **how):
        self.calls.append((where, how))


class PlatformCallsTest(unittest.TestCase):
    def setUp(self):
        self.client = Client()
        self.answers = []
        self.platform = PlatformCalls(self.client, "n1", ADDRESSES, self.answered)

    def answered(self, key, answer):
        self.answers.append((key, answer.outcome, answer.revision, answer.data))

    def poll(self, result):
        self.platform.poll(PollPlatform("rules", 7, 500))
        where, how = self.client.calls[-1]
        how["on_done"](result)
        return where[1], self.answers[-1]

    def test_the_call_says_who_reads_and_what_is_known(self):
        self.poll(Reply(204, {}, b""))
        where, how = self.client.calls[0]
        self.assertEqual(("127.0.0.1", 81, "GET", "/v1/config/rules?after=7&wait_ms=500"), where)
        self.assertEqual((("Reader", "n1"),), how["headers"])
        self.assertEqual(2_500.0, how["timeout_ms"])

    def test_each_answer_has_its_outcome(self):
        changed = {"revision": "8"}
        rows = (
            (Reply(200, changed, b"{}"), ("rules", PlatformOutcome.CHANGED, 8, b"{}")),
            (Reply(204, changed, b"x"), ("rules", PlatformOutcome.UNCHANGED, 0, b"")),
            (Reply(404, {}, b"x"), ("rules", PlatformOutcome.MISSING, 0, b"")),
            (Reply(503, {}, b"x"), ("rules", PlatformOutcome.OVERLOADED, 0, b"")),
            (Reply(500, changed, b"x"), ("rules", PlatformOutcome.FAILED, 0, b"")),
            (Reply(200, {}, b"{}"), ("rules", PlatformOutcome.FAILED, 0, b"")),
            (Reply(200, {"revision": "-8"}, b"{}"), ("rules", PlatformOutcome.FAILED, 0, b"")),
            (Reply(200, {"revision": "²"}, b"{}"), ("rules", PlatformOutcome.FAILED, 0, b"")),
            (Failure("timeout", True), ("rules", PlatformOutcome.FAILED, 0, b"")),
        )
        for result, wanted in rows:
            self.assertEqual(wanted, self.poll(result)[1])

    def test_the_next_address_is_asked_after_a_failure_or_overload_only(self):
        results = [
            Reply(204, {}, b""),
            Reply(404, {}, b""),
            Reply(503, {}, b""),
            Reply(500, {}, b""),
        ]
        results += [Failure("refused", False), Reply(204, {}, b"")]
        ports = [self.poll(result)[0] for result in results]
        self.assertEqual([81, 81, 81, 82, 81, 82], ports)

    def test_without_addresses_nothing_is_called(self):
        PlatformCalls(self.client, "n1", (), self.answered).poll(PollPlatform("rules", 0, 0))
        self.assertEqual([], self.client.calls)


if __name__ == "__main__":
    unittest.main()
