"""Tests for the responses to callers and their timing."""

import random
import unittest

from rhubarbhinge.forward import CallerRequest, FailureReason, Lost, NotRun, SearcherReply
from rhubarbhinge.forward.tests.fakes import FakeWorld, replied
from rhubarbhinge.gateway import AnswerLeadTime, Gateway, GatewayDependencies
from rhubarbhinge.gateway._request_handler import SAMPLING_INTERVAL
from rhubarbhinge.gather import ShardDelegation
from rhubarbhinge.plans import CallerLimits, Route, ServingPlan, ShardSet, WeightedService
from rhubarbhinge.quarantine import Quarantine
from rhubarbhinge.telemetry import use_event_log
from rhubarbhinge.web import Request, Responder, Response

SHARDS = ("s0", "s1", "s2", "s3")
ONCE = Route("once", "a", "/once/", False, 500.0, 100.0, 1, 2, (WeightedService("one", 1.0),))
ONE = Route("one", "a", "/one/", True, 500.0, 100.0, 1, 2, (WeightedService("one", 1.0),))
ALL = Route("all", "a", "/all/", True, 500.0, 100.0, 1, 2, (), ShardSet(SHARDS, 2, 0.75))


class FakeDialect:
    def decode_request(self, request: Request) -> CallerRequest:
        wait_ms = request.headers.get("wait")
        return CallerRequest("r1", b"", request.body, float(wait_ms) if wait_ms else None)

    def encode_reply(self, reply: SearcherReply) -> Response:
        return Response(reply.status, reply.body)

    def encode_merged(self, signatures: tuple[str, ...], missing: int, body: bytes) -> Response:
        return Response(200, body, (("missing", str(missing)),))


class FakeFollower:
    def __init__(self):
        self.plan: ServingPlan | None = ServingPlan(1, (ONCE, ONE, ALL), {}, CallerLimits())
        self.current = True

    def is_current(self) -> bool:
        return self.current

    def age_ms(self) -> float:
        return 0.0


class RecordingEventLog:
    """Records events instead of writing them."""

    def __init__(self):
        self.events: list[tuple[str, dict]] = []

    def write(self, level: str, name: str, fields: dict) -> None:
        self.events.append((name, fields))


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.world = FakeWorld(services=("one", *SHARDS))
        self.follower = FakeFollower()
        self.answers: list[Response] = []
        delegation = ShardDelegation(lambda request, terms, served: {}, None)
        self.balancer_delay_ms = 0.0
        self.is_buffer_full = False
        self.link_bits_per_ms = 0.0
        self.metrics = self.world.metrics
        dependencies = GatewayDependencies(
            self.world.context,
            FakeDialect(),
            self.follower,
            self.metrics,
            random.Random(1),
            delegation,
            AnswerLeadTime(lambda: self.link_bits_per_ms),
            lambda: self.balancer_delay_ms,
            Quarantine(self.world.timers.now_ms, lambda name: True, lambda: None, random.Random(1)),
            is_buffer_full=lambda: self.is_buffer_full,
        )
        self.gateway = Gateway(dependencies)

    def send_request(
        self, path: str, wait_ms: float | None = None, transit_ms: float = 0.0
    ) -> Responder:
        headers = {"host": "a", **({"wait": str(wait_ms)} if wait_ms else {})}
        request = Request("GET", path, {}, headers, b"", "10.0.0.1", path, (), transit_ms)
        responder = Responder(self.answers.append)
        self.gateway.handle(request, responder)
        return responder

    def status(self) -> int:
        self.assertEqual(len(self.answers), 1)
        return self.answers[0].status

    def retry_after(self) -> float:
        return float(dict(self.answers[0].headers)["Retry-After"])

    def test_request_without_a_plan_is_refused_and_not_404(self):
        self.follower.plan = None
        self.send_request("/one/x")
        self.assertEqual(self.status(), 503)
        self.assertLess(self.retry_after(), 1.0)

    def test_request_is_refused_unrun_while_slow_readers_fill_the_buffers(self):
        """Guards against new requests that add to buffers which are full already."""
        self.is_buffer_full = True
        self.send_request("/one/x")
        self.assertEqual((self.status(), self.world.attempts), (503, []))
        self.assertTrue(0.2 <= self.retry_after() <= 0.3, self.retry_after())
        self.is_buffer_full = False
        self.send_request("/one/x")
        self.assertEqual(len(self.world.attempts), 1)

    def test_sample_of_successful_requests_is_logged_with_steps(self):
        log = RecordingEventLog()
        use_event_log(log)
        self.addCleanup(use_event_log, None)
        for _ in range(10 * SAMPLING_INTERVAL):
            self.send_request("/one/x")
            self.world.attempts[-1].end(replied())
        ends = [fields for name, fields in log.events if name == "request-ended"]
        self.assertTrue(1 <= len(ends) <= 30, len(ends))
        self.assertEqual({fields["why"] for fields in ends}, {"sampled"})
        self.assertEqual(sum(name == "attempt-sent" for name, _ in log.events), len(ends))

    def test_unknown_route_is_404_only_while_the_plan_is_current(self):
        self.send_request("/none/")
        self.assertEqual(self.status(), 404)
        self.answers.clear()
        self.follower.current = False
        self.send_request("/none/")
        self.assertEqual(self.status(), 503)

    def test_forwarded_failure_is_logged(self):
        log = RecordingEventLog()
        use_event_log(log)
        self.addCleanup(use_event_log, None)
        self.send_request("/once/x")
        self.world.attempts[0].end(replied(500))
        names = [name for name, _ in log.events]
        self.assertEqual(names, ["attempt-sent", "attempt-ended", "request-ended"])
        self.assertEqual(log.events[-1][1]["status"], 500)
        log.events.clear()
        self.send_request("/once/x")
        self.world.attempts[-1].end(replied())
        self.assertEqual(log.events, [])

    def test_sends_refusals_and_latencies_are_counted(self):
        self.send_request("/one/x")
        self.world.timers.advance(50.0)
        self.world.attempts[1].end(replied())
        self.send_request("/once/x")
        self.world.attempts[2].end(Lost(FailureReason.BROKEN))
        text = self.metrics.render().decode()
        for part in ('kind="base"', 'kind="hedge"', 'code="broken"', 'class="one"'):
            self.assertIn(part, text)

    def test_reply_is_forwarded(self):
        self.send_request("/one/x")
        self.world.attempts[0].end(replied(body=b"whole"))
        self.assertEqual((self.status(), self.answers[0].body), (200, b"whole"))

    def test_unconfirmed_refusal_status_of_a_searcher_is_not_forwarded(self):
        for status in (503, 429, 408, 421):
            self.answers.clear()
            self.world.attempts.clear()
            self.send_request("/once/x")
            self.world.attempts[0].end(replied(status))
            self.assertEqual(self.status(), 502)

    def test_request_refused_by_all_searchers_gets_retry_after(self):
        self.send_request("/once/x")
        for _ in range(4):
            self.world.attempts[-1].end(NotRun(FailureReason.NO_ROOM))
            self.world.timers.advance(25.0)
        self.assertEqual(self.status(), 503)
        self.assertGreater(self.retry_after(), 0.0)

    def test_request_that_may_have_run_is_not_refused(self):
        self.send_request("/once/x")
        self.world.attempts[0].end(Lost(FailureReason.BROKEN))
        self.assertEqual(self.status(), 502)

    def test_route_timeout_cancels_the_attempt(self):
        self.send_request("/once/x")
        self.world.timers.advance(499.0)
        self.assertEqual(self.answers, [])
        self.world.timers.advance(2.0)
        self.assertEqual(self.status(), 504)
        self.assertTrue(self.world.attempts[0].cancelled)

    def test_shorter_caller_deadline_applies(self):
        self.send_request("/one/x", wait_ms=100.0)
        self.world.timers.advance(99.0)
        self.assertEqual(self.status(), 504)

    def test_unsent_request_is_refused_at_its_deadline(self):
        self.world.unsent_next = True
        self.send_request("/once/x")
        self.world.timers.advance(501.0)
        self.assertEqual(self.status(), 503)

    def test_unsent_search_is_refused_at_its_deadline(self):
        # Half of the searchers are down and the others busy, so it only waited for connections.
        self.world.on_send = lambda: setattr(self.world, "unsent_next", True)
        self.send_request("/all/x")
        self.world.timers.advance(600.0)
        self.assertEqual(self.status(), 503)
        self.assertGreater(self.retry_after(), 0.0)

    def test_search_that_may_have_run_times_out_at_its_deadline(self):
        self.send_request("/all/x")
        self.world.timers.advance(600.0)
        self.assertEqual(self.status(), 504)

    def test_disconnected_caller_cancels_attempts(self):
        for path in ("/one/x", "/all/x"):
            self.world.attempts.clear()
            responder = self.send_request(path)
            responder.abandon()
            self.assertTrue(all(attempt.cancelled for attempt in self.world.attempts))
            self.world.timers.advance(1_000.0)
        self.assertEqual(self.answers, [])

    def test_partial_search_is_answered_before_the_objective(self):
        self.send_request("/all/x")
        for attempt in self.world.attempts[:3]:
            attempt.end(replied(signature=attempt.service))
        self.world.timers.advance(95.0)
        self.assertEqual(self.status(), 200)
        self.assertEqual(dict(self.answers[0].headers)["missing"], "1")

    def test_search_with_too_few_reachable_shards_is_refused_at_once(self):
        for name in ("s0-1", "s0-2", "s1-1", "s1-2"):
            self.world.observed(name).on_unreachable()
        self.send_request("/all/x")
        self.world.timers.advance(0.0)
        self.assertEqual((self.status(), self.world.attempts), (503, []))

    def test_retry_after_covers_the_reaction_time_of_the_balancer(self):
        for name in ("s0-1", "s0-2", "s1-1", "s1-2"):
            self.world.observed(name).on_unreachable()
        self.balancer_delay_ms = 1_500.0
        self.send_request("/all/x")
        self.world.timers.advance(0.0)
        self.assertEqual(self.status(), 503)
        self.assertGreater(self.retry_after(), 1.0)

    def test_entry_with_too_few_reachable_searchers_cannot_serve(self):
        self.assertTrue(self.gateway.can_serve())
        for _ in range(3):
            self.send_request("/all/x")
        for name in ("s0-1", "s0-2", "s1-1", "s1-2"):
            self.world.observed(name).on_unreachable()
        self.assertFalse(self.gateway.can_serve())
        for _ in range(5):
            self.send_request("/one/x")
        self.assertTrue(self.gateway.can_serve())

    def test_transit_time_of_the_caller_is_deducted(self):
        self.send_request("/all/x", transit_ms=30.0)
        for attempt in list(self.world.attempts)[:3]:
            attempt.end(replied(signature=attempt.service))
        self.world.timers.advance(60.0)
        self.assertEqual(self.answers, [])
        self.world.timers.advance(10.0)
        self.assertEqual(self.status(), 200)

    def test_requests_that_no_entry_can_serve_do_not_affect_readiness(self):
        for name in ("s0", "s1", "s2", "s3"):
            for observed in list(self.world.fleet.of_service(name)):
                self.world.fleet.remove(observed.searcher.incarnation)
        for _ in range(3):
            self.send_request("/all/x")
        self.assertTrue(self.gateway.can_serve())
        self.send_request("/one/x")
        for observed in self.world.fleet.of_service("one"):
            observed.on_unreachable()
        self.assertFalse(self.gateway.can_serve())

    def test_request_keeps_the_plan_under_which_it_was_accepted(self):
        self.send_request("/all/x")
        newer = Route("all", "a", "/all/", True, 500.0, 100.0, 1, 2, (), ShardSet(("t0",), 2, 1.0))
        self.follower.plan = ServingPlan(2, (newer,), {}, CallerLimits())
        self.gateway.on_plan(self.follower.plan)
        for attempt in list(self.world.attempts):
            attempt.end(replied(signature=attempt.service))
        self.assertEqual(dict(self.answers[0].headers)["missing"], "0")
        self.assertEqual({attempt.service for attempt in self.world.attempts}, set(SHARDS))
