"""Bad input from callers and on peer ports of real processes, while others are served."""

import http.client
import os
import socket
import time
from contextlib import contextmanager

import orjson

from rhubarbhinge.wire import CancelBatch, Hello, encode, encode_frame, sign_datagram, signed_hello
from standins.deployment import LOOPBACK
from standins.tests._checks import search_violations
from standins.tests._live import ACTION, TEXT, LiveCase

_COLLECTIONS = ("boiler-inspections", "spare-part-histories")
_BODY_BYTES = 100_000
_WAIT_S = 20.0
_SLOW_CALLERS = 30
_OTHER_KEY = b"another-key-that-no-node-has-0123456789"
_DEEP = b'{"a":' * 10_000 + b"1" + b"}" * 10_000
_GOOD = {"collection": _COLLECTIONS[0], "text": TEXT}
_RUN = {"action": ACTION, "body": {"order": 1}}

#: Bodies of searches and runs that are refused, by status.
_BAD_BODIES = (
    ("/v1/search", b"", 400),
    ("/v1/search", b"\xff\xfe{", 400),
    ("/v1/search", b"[]", 400),
    ("/v1/search", _DEEP, 400),
    ("/v1/search", {**_GOOD, "collection": "nothing"}, 404),
    ("/v1/search", {**_GOOD, "collection": 7}, 400),
    ("/v1/search", {**_GOOD, "text": ["x"]}, 400),
    ("/v1/search", {**_GOOD, "text": "x" * 10_000}, 400),
    ("/v1/search", {**_GOOD, "limit": "10"}, 400),
    ("/v1/search", {**_GOOD, "limit": -1}, 400),
    ("/v1/search", {**_GOOD, "deadline_ms": "soon"}, 400),
    ("/v1/search", {**_GOOD, "other": 1}, 400),
    ("/v1/search", b" " * (_BODY_BYTES + 1), 413),
    ("/v1/run", {**_RUN, "action": "nothing"}, 404),
    ("/v1/run", {**_RUN, "body": 1}, 400),
    ("/v1/run", b"{", 400),
    ("/v1/nothing", b"{}", 404),
)


class LiveBadInputTest(LiveCase):
    node_settings = {
        "RHUBARBHINGE_HTTP_BODY_BYTES": str(_BODY_BYTES),
        "RHUBARBHINGE_HTTP_HEADER_TIMEOUT_MS": "1000",
    }

    def setUp(self):
        super().setUp()
        self.vm = self.live.vms[0]

    @contextmanager
    def served(self):
        """Search meanwhile; all searches have to be answered well, and no node may end."""
        links = self.links()
        with self.callers.load([self.vm], _COLLECTIONS):
            yield
            time.sleep(0.2)
        self.assertEqual(search_violations(self.callers.events), [])
        self.assertEqual({each["status"] for each in self.callers.answered()}, {200})
        self.assertEqual(self.links(), links)

    def links(self):
        return [self.live.status(self.vm, role)["links"] for role in ("entry", "relay")]

    def send(self, path, body):
        connection = http.client.HTTPConnection(LOOPBACK, self.vm.entry_http, timeout=_WAIT_S)
        try:
            data = body if isinstance(body, bytes) else orjson.dumps(body)
            connection.request("POST", path, data)
            answer = connection.getresponse()
            return answer.status, orjson.loads(answer.read())
        finally:
            connection.close()

    def raw(self, port, data):
        """Send bytes and read an HTTP answer, or until the node closes the connection."""
        with socket.create_connection((LOOPBACK, port), timeout=_WAIT_S) as sock:
            received = b""
            try:
                sock.sendall(data)
                while chunk := sock.recv(65_536):
                    received += chunk
                    if received.startswith(b"HTTP/"):
                        break
            except ConnectionError:
                pass
            return received

    def test_bodies(self):
        with self.served():
            for path, body, status in _BAD_BODIES:
                with self.subTest(path=path, body=body[:40] if isinstance(body, bytes) else body):
                    answer = self.send(path, body)
                    self.assertEqual(answer[0], status, answer[1])
                    self.assertTrue(answer[1]["error"]["code"])
                    self.assertTrue(answer[1]["error"]["todo"])

    def test_tickets(self):
        ticket = self.callers.mint(self.vm)
        middle = len(ticket.text) // 2
        other = "A" if ticket.text[middle] != "A" else "B"
        forged = ticket.text[:middle] + other + ticket.text[middle + 1 :]
        with self.served():
            for text, code in (
                (forged, "ticket-forged"),
                ("AAAA", "ticket-malformed"),
                ("x" * 5_000, "ticket-malformed"),
            ):
                with self.subTest(code=code, text=text[:40]):
                    _, answer = self.send(f"/v1/run/{text}", _RUN)
                    self.assertEqual((answer["outcome"], answer["code"]), ("unknown", code))
            _, answer = self.send(f"/v1/run/{ticket.text}", {**_RUN, "body": {"order": 2}})
            self.assertEqual(answer["code"], "body-mismatch")
        self.assertEqual(self.times_run(ticket), 0)

    def test_requests_that_are_not_http(self):
        with self.served():
            for port in (self.vm.entry_http, self.vm.relay_http):
                for data in (
                    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
                    b"GET / HTTP/9.9\r\n\r\n",
                    b"POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
                    b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000 + b"\r\n\r\n",
                ):
                    with self.subTest(data=data[:30]):
                        status = self.raw(port, data).split(b" ", 2)[1]
                        self.assertIn(status[:1], (b"4", b"5"))

    def test_slow_callers(self):
        slow = [
            socket.create_connection((LOOPBACK, self.vm.entry_http), timeout=_WAIT_S)
            for _ in range(_SLOW_CALLERS)
        ]
        with self.served():
            for sock in slow:
                self.addCleanup(sock.close)
                sock.sendall(b"POST /v1/search HTTP/1.1\r\nHost: a\r\nX")
            for sock in slow:
                self.assertTrue(_is_closed(sock))

    def test_peer_ports(self):
        plain = Hello("kgn-b-1/relay", "relay", "kgn-b", 1, os.urandom(16), b"", b"")
        message = encode(CancelBatch((1,), (0,), (0,)))
        with self.served():
            for port in (self.vm.entry_peer, self.vm.relay_peer):
                for data in (
                    b"\xff\xff\xff\x7f" + b"x" * 100,
                    b"\0\0\0\0",
                    encode_frame(b"x" * 64),
                    encode_frame(message),
                    encode_frame(encode(plain)),
                    encode_frame(encode(signed_hello(_OTHER_KEY, plain))),
                    b"\x10\0\0\0half",
                    b"GET / HTTP/1.1\r\n\r\n",
                ):
                    with self.subTest(data=data[:20]):
                        self.assertEqual(self.raw(port, data), b"")
                self.datagrams(port, message)

    def datagrams(self, port, message):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"", b"x" * 1_000, message, sign_datagram(_OTHER_KEY, message)):
                sock.sendto(data, (LOOPBACK, port))


def _is_closed(sock):
    try:
        while sock.recv(65_536):
            pass
    except ConnectionError:
        pass
    return True
