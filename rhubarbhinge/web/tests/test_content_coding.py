"""Tests of content codings accepted by clients."""

import gzip
import unittest
from unittest import mock

from circuits import BaseComponent

from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until, stop_tree
from rhubarbhinge.web import (
    Failure,
    HttpClient,
    HttpServer,
    Reply,
    Response,
    _content_coding,
    _response_encoding,
)
from rhubarbhinge.web._content_coding import decode_content

LONG = b"the same again " * 1_000


class DecodedTest(unittest.TestCase):
    def test_gzip_body_is_decoded(self):
        reply = Reply(200, {"content-encoding": "GZip"}, gzip.compress(LONG))
        self.assertEqual(decode_content(reply).body, LONG)

    def test_plain_body_is_unchanged(self):
        reply = Reply(200, {}, LONG)
        self.assertIs(decode_content(reply), reply)

    def test_truncated_corrupt_or_unknown_coding_is_rejected(self):
        compressed = gzip.compress(LONG)
        for coding, body in (("gzip", compressed[:-9]), ("gzip", LONG), ("br", compressed)):
            with self.subTest(coding=coding, start=body[:4]):
                self.assertIsNone(decode_content(Reply(200, {"content-encoding": coding}, body)))

    def test_decoded_body_above_limit_is_rejected(self):
        reply = Reply(200, {"content-encoding": "gzip"}, gzip.compress(LONG))
        with mock.patch.object(_content_coding, "MAX_DECODED_BYTES", len(LONG) - 1):
            self.assertIsNone(decode_content(reply))


class ClientTest(unittest.TestCase):
    def call(self, accept_gzip: bool, handle) -> tuple[list, HttpServer]:
        root = BaseComponent()
        self.addCleanup(stop_tree, root)
        timers = TimerService().register(root)
        server = HttpServer(timers, handle, ("127.0.0.1", 0)).register(root)
        client = HttpClient(timers, accept_gzip).register(root)
        outcomes = []
        for _ in range(2):
            client.call("127.0.0.1", server.bound_port, "GET", "/x", on_done=outcomes.append)
        self.assertTrue(run_until(root, lambda: len(outcomes) == 2), "timed out")
        return outcomes, server

    def test_only_client_that_accepts_gzip_gets_compressed_body(self):
        sent = {}
        for accept_gzip in (False, True):
            outcomes, server = self.call(
                accept_gzip, lambda request, responder: responder.answer(Response(200, LONG))
            )
            self.assertEqual([outcome.body for outcome in outcomes], [LONG, LONG])
            sent[accept_gzip] = server.sent_bytes
        self.assertLess(10 * sent[True], sent[False])

    def test_body_sent_repeatedly_is_compressed_once(self):
        body = LONG + b"once"
        with mock.patch.object(
            _response_encoding.gzip, "compress", wraps=gzip.compress
        ) as compressed:
            self.call(True, lambda request, responder: responder.answer(Response(200, body)))
        self.assertEqual(compressed.call_count, 1)

    def test_undecodable_body_is_failure(self):
        broken = Response(200, LONG, (("Content-Encoding", "br"),))
        outcomes, _ = self.call(True, lambda request, responder: responder.answer(broken))
        self.assertEqual([type(outcome) for outcome in outcomes], [Failure, Failure])
