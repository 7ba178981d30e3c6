import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbhinge.web import HttpLimits, Reply, Request
from rhubarbhinge.web._parser import Refusal, RequestParser
from rhubarbhinge.web._reply_parser import ReplyFault, ReplyParser

FIELDS = st.sampled_from(
    b"Content-Length: 3\r\n|content-length: 0\r\n|Content-Length: 03\r\n|Content-Length:3\r\n|"
    b"CONTENT-LENGTH: 12\r\n|Transfer-Encoding: chunked\r\n|Connection: close\r\n|"
    b"Expect: 100-continue\r\n|X: Content-Length: 3\r\n|X: y\r\n|X: y\n|X y\r\n| folded\r\n|"
    b"Upgrade: a\r\n".split(b"|")
)
BODIES = st.sampled_from(
    [b"", b"abc", b"3\r\nabc\r\n0\r\n\r\n", b"abcdefghijkl", b"abcGET / HTTP/1.1"]
)
REQUEST_LINES = st.sampled_from(
    [b"GET /a?b=c HTTP/1.1", b"POST / HTTP/1.1", b"PUT / HTTP/1.0", b"X"]
)
STATUS_LINES = st.sampled_from([b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 503 ", b"X 200"])
CUTS = st.lists(st.integers(0, 200), max_size=4)
REPEATABLE = settings(derandomize=True, deadline=None, database=None, max_examples=300)


def pieces(data, cuts):
    edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def read_request(data, cuts):
    parser = RequestParser(HttpLimits(), "127.0.0.1")
    for piece in pieces(data, cuts):
        parser.feed(piece)
        outcome = parser.next()
        if isinstance(outcome, Refusal):
            return outcome
        if outcome is not None:
            assert isinstance(outcome, Request)
            return outcome, parser.reusable
    return None


def read_reply(data, cuts):
    parser = ReplyParser("POST")
    for piece in pieces(data, cuts):
        outcome = parser.feed(piece)
        if isinstance(outcome, ReplyFault):
            return outcome
        if outcome is not None:
            assert isinstance(outcome, Reply)
            return outcome, parser.reusable
    return None


class ParsersTest(unittest.TestCase):
    def test_the_first_request_of_a_connection_has_waited_for_the_handshake(self):
        parser = RequestParser(HttpLimits(), "127.0.0.1", round_trip_ms=6.0)
        transits_ms = []
        for _ in range(3):
            parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            transits_ms.append(parser.next().transit_ms)
            parser.finish()
        self.assertEqual(transits_ms, [12.0, 6.0, 6.0])

    @given(REQUEST_LINES, st.lists(FIELDS, max_size=4), BODIES, CUTS)
    @REPEATABLE
    def test_a_kept_request_form_says_what_a_full_parse_says(self, line, fields, body, cuts):
        data = line + b"\r\nHost: a\r\n" + b"".join(fields) + b"\r\n" + body
        kept = read_request(data, cuts)
        with mock.patch("rhubarbhinge.web._parser.read_plain_request_head", return_value=None):
            full = read_request(data, [])
        self.assertEqual(full, kept)

    @given(STATUS_LINES, st.lists(FIELDS, max_size=4), BODIES, CUTS)
    @REPEATABLE
    def test_a_kept_reply_form_says_what_a_full_parse_says(self, line, fields, body, cuts):
        data = line + b"\r\n" + b"".join(fields) + b"\r\n" + body
        kept = read_reply(data, cuts)
        with mock.patch("rhubarbhinge.web._reply_parser.read_plain_reply_head", return_value=None):
            full = read_reply(data, [])
        self.assertEqual(full, kept)
