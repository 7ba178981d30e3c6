import gzip
import unittest

import orjson

from rhubarbhinge.web import HttpLimits, HttpServer, Response
from rhubarbhinge.web.tests.raw import LOOPBACK, Tree

GET = b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n%b\r\n\r\n"
TIMEOUTS = {"header_timeout_ms": 100, "body_timeout_ms": 100, "idle_timeout_ms": 100}
SMALL = HttpLimits(header_bytes=1000, body_bytes=2000, gzip_least_bytes=300, **TIMEOUTS)


class HttpServerTest(unittest.TestCase):
    def serve(self, limits=None, answer=True):
        self.tree = Tree(self)
        self.requests, self.responders = [], []
        self.answer = answer
        self.server = HttpServer(self.tree.timers, self.handle, (LOOPBACK, 0), limits)
        self.server.register(self.tree.root)
        return self.tree.connect(self.server.bound_port)

    def handle(self, request, responder):
        self.requests.append(request)
        self.responders.append(responder)
        if self.answer:
            responder.answer(Response(200, request.path.encode()))

    def refused(self, sent, status, code, limits=None):
        caller = self.serve(limits).send(sent).until_ended()
        head, _, body = caller.got.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 %d " % status), head)
        error = orjson.loads(body)["error"]
        self.assertEqual(code, error["code"])
        self.assertTrue(error["message"] and error["todo"])
        self.assertNotRegex(caller.got.lower(), b"h11|circuits|traceback|python")
        self.assertEqual([], self.requests)

    def test_an_answer_may_come_much_later(self):
        caller = self.serve(answer=False).send(GET % b"/a?b=c%20d")
        self.tree.until(lambda: self.responders)
        self.tree.settle()
        self.assertEqual((b"", 1), (caller.poll(), self.server.open_requests))
        self.assertEqual(("/a", {"b": "c d"}), (self.requests[0].path, self.requests[0].query))
        self.assertEqual(LOOPBACK, self.requests[0].peer_ip)
        self.responders[0].answer(Response(200, b"late"))
        caller.until_got(b"\r\n\r\nlate")
        self.assertEqual(0, self.server.open_requests)
        with self.assertRaises(RuntimeError):
            self.responders[0].answer(Response(200))

    def test_an_answer_is_written_at_once(self):
        # The rest of the loop turn may take an entry that is short of processor time 10 ms.
        caller = self.serve(answer=False).send(GET % b"/a")
        self.tree.until(lambda: self.responders)
        self.responders[0].answer(Response(200, b"now"))
        self.assertEqual(0, self.server.unsent_bytes)
        caller.until_got(b"\r\n\r\nnow")

    def test_pipelined_requests_are_answered_in_order_one_at_a_time(self):
        caller = self.serve(answer=False)
        caller.send(GET % b"/1" + POST % b"Content-Length: 2" + b"xy" + GET % b"/3")
        for count in (1, 2, 3):
            self.tree.until(lambda count=count: len(self.responders) == count)
            self.tree.settle()
            self.assertEqual(1, self.server.open_requests)
            self.responders[-1].answer(Response(200, b"answer-%d" % count))
        caller.until_got(b"answer-1", b"answer-2", b"answer-3")
        self.assertLess(caller.got.index(b"answer-1"), caller.got.index(b"answer-2"))
        self.assertLess(caller.got.index(b"answer-2"), caller.got.index(b"answer-3"))
        self.assertEqual(b"xy", self.requests[1].body)

    def test_a_request_in_many_pieces_is_whole(self):
        caller = self.serve()
        for byte in POST % b"Transfer-Encoding: chunked" + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n":
            caller.send(bytes([byte]))
            self.tree.root.tick(0.001)
        caller.until_got(b"200 OK")
        self.assertEqual(b"abcde", self.requests[0].body)
        caller.send(GET % b"/again").until_got(b"/again")

    def test_large_headers_are_refused(self):
        big = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 200_000
        self.refused(big, 431, "header-too-large")
        self.refused(big + b"\r\n\r\n", 431, "header-too-large")

    def test_large_bodies_are_refused_at_once(self):
        self.refused(POST % b"Content-Length: 99999999999", 413, "body-too-large")
        chunks = b"7d1\r\n" + b"x" * 2001
        self.refused(POST % b"Transfer-Encoding: chunked" + chunks, 413, "body-too-large", SMALL)

    def test_odd_lengths_are_refused(self):
        for fields in (
            b"Content-Length: -5",
            b"Content-Length: +5",
            b"Content-Length: 5, 5",
            b"Content-Length: 5\r\nContent-Length: 6",
            b"Content-Length: 6\r\nContent-Length: 0",
            b"Content-Length: 5\r\ncontent-length: 5",
            b"Content-Length: 5\r\nTransfer-Encoding: chunked",
            b"Content-Length: 5\r\nX: y\nContent-Length: 7",
            b"Transfer-Encoding: gzip",
        ):
            with self.subTest(fields):
                status = 501 if b"gzip" in fields else 400
                code = "unsupported-coding" if b"gzip" in fields else "malformed-request"
                self.refused(POST % fields + b"hello", status, code)

    def test_malformed_requests_are_refused(self):
        for sent in (
            b"hello\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
            b"GET /%ff HTTP/1.1\r\nHost: a\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\r\n\r\n",
        ):
            with self.subTest(sent):
                self.refused(sent, 400, "malformed-request")

    def test_slow_headers_bodies_and_idle_connections_are_closed(self):
        self.serve(SMALL)
        port = self.server.bound_port
        self.tree.connect(port).send(b"GET / HT").until_ended()
        self.tree.connect(port).send(POST % b"Content-Length: 9" + b"x").until_ended()
        self.tree.connect(port).send(GET % b"/done").until_got(b"/done").until_ended()
        self.assertEqual(["/done"], [request.path for request in self.requests])

    def test_bytes_that_trickle_do_not_prolong_the_bound(self):
        caller = self.serve(SMALL)

        caller.send(b"GET / HTTP/1.1\r\nX: ")
        self.tree.until(lambda: caller.send(b"x").poll() is not None and caller.ended)

    def test_a_slow_answer_is_no_idle_connection(self):
        caller = self.serve(SMALL, answer=False).send(GET % b"/")
        self.tree.until(lambda: self.responders)
        self.tree.settle()
        self.tree.settle()
        self.responders[0].answer(Response(200, b"kept"))
        caller.until_got(b"kept")

    def test_connections_above_the_cap_get_503(self):
        kept = [self.serve(HttpLimits(connections=2)), self.tree.connect(self.server.bound_port)]
        self.tree.settle()
        over = self.tree.connect(self.server.bound_port).until_ended()
        self.assertTrue(over.got.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"too-many-connections", over.got)
        kept[0].sock.close()
        self.tree.settle()
        self.tree.connect(self.server.bound_port).send(GET % b"/new").until_got(b"/new")

    def test_bytes_sent_far_ahead_of_the_answer_close_the_connection(self):
        caller = self.serve(SMALL, answer=False).send(GET % b"/" + b"x" * 4000).until_ended()
        self.assertEqual(b"", caller.got)

    def test_the_request_of_a_caller_that_has_left_is_not_begun(self):
        caller = self.serve()
        caller.send(GET % b"/late").sock.close()
        self.tree.settle()
        self.assertEqual(([], 0), (self.requests, self.server.open_requests))

    def test_a_caller_that_goes_is_told_once(self):
        gone = []
        caller = self.serve(answer=False).send(GET % b"/")
        self.tree.until(lambda: self.responders)
        self.responders[0].on_abandoned(lambda: gone.append(1))
        caller.sock.close()
        self.tree.until(lambda: gone)
        self.assertEqual(0, self.server.open_requests)
        self.responders[0].answer(Response(200))
        self.tree.settle()
        self.assertEqual(([1], 0), (gone, self.server.open_requests))

    def test_large_answers_are_compressed_for_those_who_accept_it(self):
        body = b"x" * 300
        for accept, packed in ((b"gzip", True), (b"br, GZIP;q=0.5", True), (b"gzip;q=0", False)):
            caller = self.serve(SMALL, answer=False)
            caller.send(b"GET / HTTP/1.1\r\nHost: a\r\nAccept-Encoding: %b\r\n\r\n" % accept)
            self.tree.until(lambda: self.responders)
            self.responders[0].answer(Response(200, body))
            caller.until_got(b"\r\n\r\n")
            head, _, got = caller.got.partition(b"\r\n\r\n")
            self.assertEqual(packed, b"Content-Encoding: gzip" in head)
            self.assertEqual(body, gzip.decompress(got) if packed else got)

    def test_a_caller_that_waits_with_its_body_is_told_to_go_on(self):
        caller = self.serve().send(POST % b"Content-Length: 2\r\nExpect: 100-continue")
        caller.until_got(b"HTTP/1.1 100 Continue\r\n\r\n").send(b"ok").until_got(b" 200 OK")
        self.assertEqual(b"ok", self.requests[0].body)
        caller.send(POST % b"Transfer-Encoding: chunked\r\nExpect: 100-continue")
        self.tree.until(lambda: caller.poll().count(b"100 Continue") == 2)

    def test_answers_without_a_body_have_none(self):
        caller = self.serve(answer=False).send(b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
        caller.send(GET % b"/")
        self.tree.until(lambda: self.responders)
        self.responders[0].answer(Response(200, b"hidden"))
        self.tree.until(lambda: len(self.responders) == 2)
        self.responders[1].answer(Response(204))
        caller.until_got(b"Content-Length: 6\r\n", b" 204 ")
        self.assertNotIn(b"hidden", caller.got)
        self.assertTrue(caller.got.endswith(b"HTTP/1.1 204 No Content\r\n\r\n"), caller.got)

    def test_connections_end_after_the_answer_when_asked_or_stopping(self):
        caller = self.serve()
        caller.send(b"GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").until_ended()
        self.assertIn(b"Connection: close", caller.got)
        old = self.tree.connect(self.server.bound_port).send(b"GET /o HTTP/1.0\r\n\r\n")
        self.assertTrue(old.until_ended().got.endswith(b"/o"))
        kept = self.tree.connect(self.server.bound_port).send(GET % b"/1").until_got(b"/1")
        self.server.stop_listening()
        kept.send(GET % b"/2").until_ended()
        self.assertIn(b"/2", kept.got)
        with self.assertRaises(ConnectionRefusedError):
            self.tree.connect(self.server.bound_port)
