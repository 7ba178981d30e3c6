import unittest

from rhubarbhinge.web import Failure, HttpClient
from rhubarbhinge.web.tests.raw import LOOPBACK, RawUpstream, Tree, reply


class HttpClientTest(unittest.TestCase):
    def setUp(self):
        self.tree = Tree(self)
        self.client = HttpClient(self.tree.timers).register(self.tree.root)
        self.upstream = RawUpstream(self.tree)
        self.done = []

    def call(self, path="/", port=None, timeout_ms=5000):
        return self.client.call(
            LOOPBACK,
            port or self.upstream.port,
            "GET",
            path,
            timeout_ms=timeout_ms,
            on_done=lambda outcome: self.done.append((path, outcome)),
        )

    def outcomes(self):
        return [getattr(outcome, "body", outcome) for _, outcome in self.done]

    def test_idle_connection_is_reused(self):
        self.call("/1")
        peer = self.upstream.accept().wait_received(b"GET /1 ").send(reply(b"one"))
        self.tree.until(lambda: self.done)
        self.call("/2")
        peer.wait_received(b"GET /2 ").send(reply(b"two"))
        self.tree.until(lambda: len(self.done) == 2)
        self.assertEqual([b"one", b"two"], self.outcomes())

    def test_connection_is_closed_when_it_was_idle_for_too_long(self):
        self.client = HttpClient(self.tree.timers, idle_timeout_ms=50.0).register(self.tree.root)
        self.call("/1")
        peer = self.upstream.accept().wait_received(b"GET /1 ").send(reply(b"one"))
        self.tree.until(lambda: self.done)
        peer.wait_closed()
        self.call("/2")
        self.upstream.accept().wait_received(b"GET /2 ").send(reply(b"two"))
        self.tree.until(lambda: len(self.done) == 2)

    def test_idle_connection_closed_by_peer_is_not_reused(self):
        self.call("/1")
        peer = self.upstream.accept().wait_received(b"GET /1 ").send(reply(b"one"))
        self.tree.until(lambda: self.done)
        peer.sock.close()
        self.call("/2")
        self.upstream.accept().wait_received(b"GET /2 ").send(reply(b"two"))
        self.tree.until(lambda: len(self.done) == 2)

    def test_failure_states_whether_request_was_sent(self):
        self.upstream.listener.close()
        self.call()
        self.tree.until(lambda: self.done)
        self.upstream = RawUpstream(self.tree)
        self.call(timeout_ms=100)
        self.tree.until(lambda: len(self.done) == 2)
        self.call()
        self.upstream.accept().wait_received(b"GET").sock.close()
        self.upstream.accept().wait_received(b"GET").sock.close()
        self.tree.until(lambda: len(self.done) == 3)
        self.assertEqual(Failure("refused", False), self.outcomes()[0])
        self.assertEqual(Failure("timeout", True), self.outcomes()[1])
        self.assertTrue(self.outcomes()[2].sent)

    def test_late_reply_is_not_matched_to_another_call(self):
        self.call("/late", timeout_ms=100)
        peer = self.upstream.accept().wait_received(b"GET /late ")
        self.tree.until(lambda: self.done)
        self.call("/next")
        peer.send(reply(b"late"))
        self.upstream.accept().wait_received(b"GET /next ").send(reply(b"next"))
        self.tree.until(lambda: len(self.done) == 2)
        self.assertEqual(("/next", b"next"), (self.done[1][0], self.done[1][1].body))

    def test_cancelled_call_is_not_reported_and_its_connection_closes(self):
        call = self.call()
        peer = self.upstream.accept().wait_received(b"GET")
        self.client.cancel(call)
        self.client.cancel(call)
        peer.wait_closed()
        self.client.cancel(self.call())
        self.tree.settle()
        self.assertEqual([], self.done)
