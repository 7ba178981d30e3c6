"""Content codings that a client takes."""

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
    _coding,
    _response_writing,
)
from rhubarbhinge.web._coding import decoded

LONG = b"the same again " * 1_000


class DecodedTest(unittest.TestCase):
    def test_a_compressed_body_is_restored(self):
        reply = Reply(200, {"content-encoding": "GZip"}, gzip.compress(LONG))
        self.assertEqual(decoded(reply).body, LONG)

    def test_a_plain_body_stays(self):
        reply = Reply(200, {}, LONG)
        self.assertIs(decoded(reply), reply)

    def test_what_is_cut_short_damaged_or_of_another_coding_is_no_body(self):
        packed = gzip.compress(LONG)
        for coding, body in (("gzip", packed[:-9]), ("gzip", LONG), ("br", packed)):
            with self.subTest(coding=coding, start=body[:4]):
                self.assertIsNone(decoded(Reply(200, {"content-encoding": coding}, body)))

    def test_a_body_that_grows_beyond_the_bound_is_none(self):
        reply = Reply(200, {"content-encoding": "gzip"}, gzip.compress(LONG))
        with mock.patch.object(_coding, "MOST_BODY_BYTES", len(LONG) - 1):
            self.assertIsNone(decoded(reply))


class ClientTest(unittest.TestCase):
    def call(self, takes_gzip: bool, handle) -> tuple[list, HttpServer]:
        root = BaseComponent()
        self.addCleanup(stop_tree, root)
        timers = TimerService().register(root)
        server = HttpServer(timers, handle, ("127.0.0.1", 0)).register(root)
        client = HttpClient(timers, takes_gzip).register(root)
        outcomes = []
        for _ in range(2):
            client.call("127.0.0.1", server.bound_port, "GET", "/x", on_done=outcomes.append)
        self.assertTrue(run_until(root, lambda: len(outcomes) == 2), "the bound was reached")
        return outcomes, server

    def test_only_a_client_that_takes_it_gets_a_compressed_body_which_it_restores(self):
        sent = {}
        for takes_gzip in (False, True):
            outcomes, server = self.call(
                takes_gzip, lambda request, responder: responder.answer(Response(200, LONG))
            )
            self.assertEqual([outcome.body for outcome in outcomes], [LONG, LONG])
            sent[takes_gzip] = server.sent_bytes
        self.assertLess(10 * sent[True], sent[False])

    def test_a_body_that_goes_to_several_is_compressed_once(self):
        body = LONG + b"once"
        with mock.patch.object(_response_writing.gzip, "compress", wraps=gzip.compress) as packed:
            self.call(True, lambda request, responder: responder.answer(Response(200, body)))
        self.assertEqual(packed.call_count, 1)

    def test_a_body_that_can_not_be_decoded_is_a_failure(self):
        broken = Response(200, LONG, (("Content-Encoding", "br"),))
        outcomes, _ = self.call(True, lambda request, responder: responder.answer(broken))
        self.assertEqual([type(outcome) for outcome in outcomes], [Failure, Failure])
