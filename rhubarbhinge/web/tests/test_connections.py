import unittest

from rhubarbhinge.web import HttpConnections
from rhubarbhinge.web.tests.raw import LOOPBACK, RawUpstream, Tree, reply


class HttpConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.tree = Tree(self)
        self.opened, self.replies, self.closed = [], [], []
        self.conns = HttpConnections(
            self.tree.timers,
            self.opened.append,
            lambda conn, reply: self.replies.append((conn, reply)),
            lambda conn, reason: self.closed.append((conn, reason)),
        ).register(self.tree.root)
        self.upstream = RawUpstream(self.tree)

    def connect(self):
        conn = self.conns.open(LOOPBACK, self.upstream.port, 5000)
        self.tree.until(lambda: conn in self.opened)
        return conn, self.upstream.accept()

    def send_request(self, method="POST", timeout_ms=5000):
        conn, peer = self.connect()
        self.conns.request(conn, method, "/search", b"{}", (("X", "y"),), timeout_ms)
        peer.wait_received(b"\r\n\r\n{}")
        return conn, peer

    def bodies(self):
        return [(conn, reply.body) for conn, reply in self.replies]

    def assert_closed(self, conn, reason):
        self.tree.until(lambda: self.closed)
        self.assertEqual([(conn, reason)], self.closed)
        with self.assertRaises(RuntimeError):
            self.conns.request(conn, "GET", "/", b"", (), 1000)

    def test_connection_is_reused_after_its_reply(self):
        conn, peer = self.send_request()
        head = b"POST /search HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nX: y\r\nContent-Length: 2\r\n\r\n"
        self.assertEqual(head % self.upstream.port + b"{}", peer.received)
        peer.send(reply(b"one", b"Draining: 1"))
        self.tree.until(lambda: self.replies)
        self.assertEqual(
            (200, "1"), (self.replies[0][1].status, self.replies[0][1].headers["draining"])
        )
        self.conns.request(conn, "GET", "/health", b"", (), 5000)
        peer.wait_received(b"GET /health")
        peer.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n")
        self.tree.until(lambda: len(self.replies) == 2)
        self.assertEqual([(conn, b"one"), (conn, b"two")], self.bodies())
        self.assertEqual([], self.closed)

    def test_reply_received_in_pieces_is_complete(self):
        conn, peer = self.send_request()
        for byte in reply(b"abcdef"):
            peer.send(bytes([byte]))
            self.tree.root.tick(0.001)
        self.tree.until(lambda: self.replies)
        self.assertEqual([(conn, b"abcdef")], self.bodies())

    def test_only_one_request_may_be_pending(self):
        conn, _ = self.send_request()
        with self.assertRaises(RuntimeError):
            self.conns.request(conn, "GET", "/", b"", (), 1000)
        with self.assertRaises(RuntimeError):
            self.conns.request(conn + 1, "GET", "/", b"", (), 1000)

    def test_late_reply_is_discarded(self):
        conn, peer = self.send_request(timeout_ms=50)
        self.assert_closed(conn, "timeout")
        peer.send(reply(b"late"))
        other, other_peer = self.connect()
        self.conns.request(other, "GET", "/", b"", (), 5000)
        other_peer.wait_received(b"GET /").send(reply(b"own"))
        self.tree.until(lambda: self.replies)
        self.tree.settle()
        self.assertEqual([(other, b"own")], self.bodies())

    def test_incomplete_reply_is_not_delivered(self):
        conn, peer = self.send_request(timeout_ms=50)
        peer.send(reply(b"whole")[:-1])
        self.assert_closed(conn, "timeout")
        self.closed.clear()
        conn, peer = self.send_request()
        peer.send(reply(b"whole")[:-1])
        peer.sock.close()
        self.assert_closed(conn, "peer")
        self.assertEqual([], self.replies)

    def test_malformed_replies_close_connection(self):
        for sent in (
            b"hello\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nno stated end",
            b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 0\r\n\r\nx",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX: y\nContent-Length: 1\r\n\r\nx",
            b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\nx",
            b"x" * 70_000,
        ):
            with self.subTest(sent[:60]):
                self.closed.clear()
                conn, peer = self.send_request()
                peer.send(sent)
                self.assert_closed(conn, "malformed")
        self.assertEqual([], self.replies)

    def test_unsolicited_data_closes_connection(self):
        conn, peer = self.connect()
        peer.send(reply(b"unasked"))
        self.assert_closed(conn, "unasked")
        self.closed.clear()
        conn, peer = self.send_request()
        peer.send(reply(b"own") + reply(b"another's"))
        self.assert_closed(conn, "unasked")
        self.assertEqual([(conn, b"own")], self.bodies())

    def test_nothing_is_sent_after_unread_unsolicited_data_or_close(self):
        for reason, disturb in (
            ("unasked", lambda peer: peer.send(reply(b"unasked"))),
            ("peer", lambda peer: peer.sock.close()),
        ):
            with self.subTest(reason):
                self.closed.clear()
                conn, peer = self.connect()
                self.assertTrue(self.conns.reusable(conn))
                disturb(peer)
                self.assertFalse(self.conns.reusable(conn))
                self.assertFalse(self.conns.request(conn, "GET", "/", b"", (), 5000))
                self.assert_closed(conn, reason)
        self.assertEqual([], self.replies)

    def test_connection_close_header_prevents_reuse(self):
        conn, peer = self.send_request()
        peer.send(reply(b"last", b"Connection: close"))
        self.tree.until(lambda: self.replies)
        self.assertFalse(self.conns.reusable(conn))
        self.assert_closed(conn, "peer")

    def test_interim_and_bodiless_replies(self):
        conn, peer = self.send_request()
        peer.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        self.tree.until(lambda: self.replies)
        self.assertEqual((204, b""), (self.replies[0][1].status, self.replies[0][1].body))
        self.conns.request(conn, "HEAD", "/", b"", (), 5000)
        peer.wait_received(b"HEAD /").send(reply(b"hidden")[: -len(b"hidden")])
        self.tree.until(lambda: len(self.replies) == 2)
        self.assertEqual(b"", self.replies[1][1].body)
        self.assertTrue(self.conns.reusable(conn))

    def test_close_is_reported_once(self):
        conn, peer = self.send_request()
        self.conns.close(conn)
        self.conns.close(conn)
        self.assertEqual([], self.closed)
        peer.wait_closed()
        self.assert_closed(conn, "local")

    def test_request_smuggling_through_head_is_rejected(self):
        conn, _ = self.connect()
        for path, headers in (
            ("/a b", ()),
            ("/\r\nX: y", ()),
            ("/", (("X", "a\r\nY: b"),)),
            ("/", (("Content-Length", "9"),)),
        ):
            with self.assertRaises(ValueError):
                self.conns.request(conn, "GET", path, b"", headers, 1000)
        self.assertTrue(self.conns.reusable(conn))
