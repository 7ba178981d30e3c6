"""Calls are made once, follow nothing, and take no answer that is cut short."""

import http.server
import os
import threading
import unittest
from unittest import mock

from rhubarbhinge.cli._http import CallFailed, HttpAnswer, HttpCall, call_http

HEAD = b"HTTP/1.1 %s\r\nConnection: close\r\n"
RAW_ANSWERS = {
    "/good": HEAD % b"200 OK" + b'Content-Length: 9\r\n\r\n{"a": 12}',
    "/error": HEAD % b"503 Busy" + b'Content-Length: 8\r\n\r\n{"b": 1}',
    "/text": HEAD % b"502 Bad" + b"Content-Length: 2\r\n\r\nno",
    "/short": HEAD % b"200 OK" + b'Content-Length: 99\r\n\r\n{"a": 12}',
    "/short-error": HEAD % b"503 Busy" + b'Content-Length: 99\r\n\r\n{"a": 12}',
    "/short-chunk": HEAD % b"200 OK" + b'Transfer-Encoding: chunked\r\n\r\n9\r\n{"a": 12}\r\n',
    "/redirect": HEAD % b"307 Go" + b"Location: /good\r\nContent-Length: 0\r\n\r\n",
    "/empty": b"",
}


class Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.server.seen.append((self.command, self.path))
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.wfile.write(RAW_ANSWERS[self.path])

    do_POST = do_GET

    def log_message(self, *args):
        pass


class HttpTest(unittest.TestCase):
    def setUp(self):
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.seen = []
        self.thread = threading.Thread(
            target=self.server.serve_forever, kwargs={"poll_interval": 0.01}
        )
        self.thread.start()
        self.base = f"http://127.0.0.1:{self.server.server_port}"

    def tearDown(self):
        self.server.shutdown()
        self.thread.join(10)
        self.server.server_close()

    def call(self, path, method="GET", body=None):
        return call_http(HttpCall(method, self.base + path, 10_000, body))

    def test_answers(self):
        self.assertEqual(self.call("/good"), HttpAnswer(200, {"a": 12}))
        self.assertEqual(self.call("/good", "POST", {"x": 1}), HttpAnswer(200, {"a": 12}))
        self.assertEqual(self.call("/error"), HttpAnswer(503, {"b": 1}))
        self.assertEqual(self.call("/text"), HttpAnswer(502))

    def test_redirects_are_not_followed(self):
        for method, body in (("GET", None), ("POST", {"x": 1})):
            self.assertEqual(self.call("/redirect", method, body).location, "/good")
        self.assertEqual(self.server.seen, [("GET", "/redirect"), ("POST", "/redirect")])

    def test_answers_cut_short(self):
        for path in ("/short", "/short-error", "/short-chunk", "/empty"):
            found = self.call(path, "POST", {"x": 1})
            self.assertIsInstance(found, CallFailed, path)
            self.assertTrue(found.sent)
        self.assertEqual(len(self.server.seen), 4)

    def test_proxies_are_not_used(self):
        with mock.patch.dict(os.environ, {"http_proxy": "http://127.0.0.1:1"}):
            self.assertEqual(self.call("/good").status, 200)

    def test_refused_connection_sent_nothing(self):
        closed = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        port = closed.server_port
        closed.server_close()
        found = call_http(HttpCall("POST", f"http://127.0.0.1:{port}/good", 10_000, {}))
        self.assertFalse(found.sent)


if __name__ == "__main__":
    unittest.main()
