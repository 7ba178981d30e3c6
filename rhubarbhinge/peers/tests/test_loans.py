"""Requests for loans of retry budget between entries."""

import json
import random
import unittest
from unittest import mock
from urllib.parse import parse_qsl, urlsplit

from circuits import BaseComponent
from hypothesis import given

from rhubarbhinge.members import Member
from rhubarbhinge.peers import LoanClient, LoanLog, LoanService, _loan_client
from rhubarbhinge.peers._loan_codec import LoanReplyError, decode_loan, encode_loan
from rhubarbhinge.peers._paths import RETRY_LOANS_PATH
from rhubarbhinge.retries import LOAN_VALID_MS, REFUSED, BudgetRule, Loan, RetryBudget, Unsupported
from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.fake_timers import FakeTimers
from rhubarbhinge.utils.testing import run_until, stop_tree
from rhubarbhinge.utils.testing_values import EDGE_CASE_VALUES, FUZZ_SETTINGS
from rhubarbhinge.web import (
    Failure,
    HttpClient,
    HttpServer,
    Reply,
    Request,
    Responder,
    Response,
)
from standins.fleet import free_ports

LENDER = Member("vm-2", "10.0.0.2", "hall-a", 7)
ODD_SERVICE = "shard 1&x=\u00e9/"


class LoanCodecTest(unittest.TestCase):
    def test_replies_round_trip(self):
        self.assertEqual(decode_loan(encode_loan(8)), Loan(8, LOAN_VALID_MS))

    def test_replies_out_of_range_are_rejected(self):
        """Guards against a faulty entry that makes others exceed the limit."""
        for body in (
            b'{"granted": 9, "valid_ms": 2000}',
            b'{"granted": -1, "valid_ms": 2000}',
            b'{"granted": 1.5, "valid_ms": 2000}',
            b'{"granted": 1, "valid_ms": 1e9}',
            b'{"granted": 1}',
            b'{"granted": true, "valid_ms": 2000}',
            b'{"granted": 1, "valid_ms": 2000}' + b" " * 1_024,
            b"",
        ):
            with self.subTest(body=body[:40]), self.assertRaises(LoanReplyError):
                decode_loan(body)

    @FUZZ_SETTINGS
    @given(EDGE_CASE_VALUES, EDGE_CASE_VALUES)
    def test_any_reply_is_a_loan_within_bounds_or_an_error(self, granted, valid_ms):
        try:
            loan = decode_loan(json.dumps({"granted": granted, "valid_ms": valid_ms}).encode())
        except LoanReplyError:
            return
        self.assertTrue(0 <= loan.granted <= 8 and loan.valid_ms >= 0)


class LoanExchangeTest(unittest.TestCase):
    """A borrower that calls a lender without a network."""

    def setUp(self):
        self.timers = FakeTimers()
        rule = BudgetRule(0.2, 10.0, 10_000.0)
        self.budget = RetryBudget(rule, self.timers.now_ms, lambda: 1)
        self.timers.advance(13_000.0)
        log = LoanLog(self.timers.now_ms)
        self.service = LoanService(
            self.budget.lend, lambda name: name == ODD_SERVICE, lambda ip: ip, log
        )
        self.client = LoanClient(self.timers, self, 7_000, lambda: [LENDER], log)
        self.outcome: Reply | Failure | None = None

    def call(self, ip, port, method, path, timeout_ms, on_done) -> None:
        """Stand in for the HTTP client and server."""
        if self.outcome is not None:
            on_done(self.outcome)
            return
        parts = urlsplit(path)
        self.assertEqual((ip, parts.path), (LENDER.ip, RETRY_LOANS_PATH))
        response = self.answer(method, dict(parse_qsl(parts.query)))
        on_done(Reply(response.status, {}, response.body))

    def answer(self, method: str, query: dict[str, str]) -> Response:
        responses: list[Response] = []
        request = Request(method, RETRY_LOANS_PATH, query, {}, b"", "10.0.0.1")
        self.service.answer(request, Responder(responses.append))
        return responses[0]

    def ask(self, service: str = ODD_SERVICE, entry: str = "vm-2") -> Loan | Unsupported:
        replies = []
        self.client.ask(entry, service, replies.append)
        self.timers.advance(0.0)
        (reply,) = replies
        return reply

    def test_a_loan_passes_with_any_name_of_a_service(self):
        self.assertEqual(self.ask(), Loan(5, LOAN_VALID_MS))
        self.assertEqual(self.budget.lent, 5)

    def test_unknown_services_and_a_leaving_lender_lend_nothing(self):
        """Guards against counts for any number of names, and loans of a share that the others
        divide among themselves as soon as the lender has left."""
        self.assertEqual(self.ask("other").granted, 0)
        self.service.leaving = True
        self.assertEqual((self.ask().granted, self.budget.lent), (0, 0))

    def test_bad_requests_get_errors(self):
        self.assertEqual(self.answer("GET", {"service": ODD_SERVICE}).status, 405)
        self.assertEqual(self.answer("POST", {}).status, 400)

    def test_anything_but_a_valid_reply_is_a_refusal(self):
        for outcome in (
            Failure("timeout", True),
            Reply(503, {}, b""),
            Reply(200, {}, b"{}"),
            Reply(200, {}, random.Random(1).randbytes(50)),
        ):
            with self.subTest(outcome=outcome):
                self.outcome = outcome
                self.assertEqual(self.ask(), REFUSED)
        self.assertEqual(self.ask(entry="vm-3"), REFUSED)

    def test_an_entry_of_an_earlier_release_is_told_from_a_refusal(self):
        self.outcome = Reply(404, {}, b"")
        self.assertEqual(self.ask(), Unsupported())


class LoanOverHttpTest(unittest.TestCase):
    def test_a_loan_passes_between_two_sockets(self):
        """Guards against requests that the server or the client of the entries rejects."""
        root = BaseComponent()
        self.addCleanup(stop_tree, root)
        timers = TimerService().register(root)
        log = LoanLog(timers.now_ms)
        service = LoanService(
            lambda name: 3 * (name == ODD_SERVICE), lambda name: True, lambda ip: ip, log
        )
        (port,) = free_ports(1)
        HttpServer(timers, service.answer, ("127.0.0.1", port)).register(root)
        http_client = HttpClient(timers, accept_gzip=True).register(root)
        lender = Member("vm-2", "127.0.0.1", "hall-a", 7)
        client = LoanClient(timers, http_client, port, lambda: [lender], log)
        replies = []
        # A busy machine may take longer than an entry waits.
        with mock.patch.object(_loan_client, "LOAN_TIMEOUT_MS", 5_000.0):
            client.ask("vm-2", ODD_SERVICE, replies.append)
        self.assertTrue(run_until(root, lambda: replies))
        self.assertEqual(replies, [Loan(3, LOAN_VALID_MS)])
