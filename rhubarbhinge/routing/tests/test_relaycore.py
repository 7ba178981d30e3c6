import unittest

from rhubarbhinge.routing import (
    CancelUpstream,
    CloseConnection,
    DropPeer,
    OpenConnection,
    PublishHolding,
    SendSearch,
)
from rhubarbhinge.routing.tests.fakeshell import SHED, FakeShell, health, spec
from rhubarbhinge.wire import SubCode, UpstreamState


def warm(**policy: int) -> FakeShell:
    return FakeShell(spec(0), **policy).warm()


class TestQueue(unittest.TestCase):
    def test_a_batch_is_sent_and_answered(self):
        shell = warm()
        shell.batch(0)
        request = next(iter(shell.busy.values()))
        self.assertEqual(request["text"], 'bea"ring %d')
        self.assertEqual((request["lo"], request["hi"], request["limit"]), (0, 8192, 10))
        shell.now_ms += 9
        (reply,) = shell.answer(records=6000)
        self.assertEqual((reply.code, reply.service_ms), (SubCode.ANSWERED, 9))
        self.assertIn(b"6000", reply.body)

    def test_a_higher_weight_goes_first_then_the_earlier_deadline(self):
        shell = warm()
        shell.batch(0, 0)
        shell.batch(0, weight=1, deadline_ms=900)
        shell.batch(0, weight=8, deadline_ms=900)
        shell.batch(0, weight=8, deadline_ms=700)
        order = []
        while shell.busy:
            order += [effect.call_id for effect in shell.answer() if hasattr(effect, "code")]
        self.assertEqual(order, [1, 1, 4, 3, 2])

    def test_requests_that_cannot_meet_their_deadline_are_refused_with_a_retry_after(self):
        shell = warm()
        shell.batch(0, *([0] * 11), deadline_ms=60)
        refused = [reply for reply in shell.replies.values() if reply.code == SubCode.QUEUE_FULL]
        self.assertEqual(shell.report()["queued"] + 2 + len(refused), 12)
        self.assertGreater(len(refused), 5)
        waits = {reply.retry_after_ms for reply in refused}
        self.assertGreaterEqual(min(waits), 5)
        shell.wait(max(waits))
        while shell.busy:
            shell.answer()
        shell.batch(0, deadline_ms=60)
        self.assertEqual(len(shell.busy), 1)

    def test_queue_limit_is_enforced(self):
        shell = warm(queue_limit=3)
        shell.batch(*([0] * 6), deadline_ms=9000)
        self.assertEqual(shell.codes(), [SubCode.QUEUE_FULL])

    def test_a_slower_searcher_has_requests_refused_before_their_deadline(self):
        shell = warm()
        shell.batch(0, 0, 0, 0, 0, 0, deadline_ms=100)
        shell.core._upstreams.by_id[spec(0).upstream_id].service_ms = 70.0
        shell.wait(20)
        self.assertEqual(set(shell.codes()), {SubCode.QUEUE_FULL})

    def test_a_batch_for_another_incarnation_or_another_owner_is_refused(self):
        shell = warm()
        shell.batch(0, receiver_incarnation=8)
        shell.batch(1)
        self.assertEqual(shell.codes(), [SubCode.WRONG_RECEIVER] * 2)

    def test_removing_a_searcher_fails_its_queue_and_completes_requests_in_flight(self):
        shell = warm()
        shell.batch(0, 0, 0)
        shell.register()
        self.assertEqual(shell.codes(), [SubCode.WRONG_RECEIVER])
        shell.answer()
        shell.answer()
        self.assertEqual(shell.codes()[1:], [SubCode.ANSWERED] * 2)
        self.assertEqual(set(shell.conns), set(shell.closing))

    def test_open_work_counts_requests_at_searchers_handed_over(self):
        shell = warm()
        shell.batch(0)
        shell.register()
        self.assertEqual(shell.core.open_work(), 1)
        shell.answer()
        self.assertEqual(shell.core.open_work(), 0)

    def test_columns_of_unequal_length_close_the_link(self):
        shell = warm()
        self.assertEqual(shell.batch(0, los=()), [DropPeer("entry", "malformed")])

    def test_a_cancelled_request_keeps_its_slot_until_the_searcher_answers(self):
        shell = warm()
        shell.batch(0, 0, 0)
        self.assertIsInstance(shell.cancel(1, 0)[0], CancelUpstream)
        self.assertEqual(shell.report()["in_flight"], 2)
        self.assertIsInstance(shell.answer()[0], SendSearch)

    def test_equal_call_ids_of_two_entries_do_not_collide(self):
        shell = warm()
        shell.batch(0, peer="entry", call_id=5)
        shell.batch(0, peer="other", call_id=5)
        first, second = shell.busy
        (reply,) = shell.answer(second, records=2)
        self.assertEqual((reply.peer, reply.call_id), ("other", 5))
        self.assertIn(b'"records":2', reply.body)
        shell.peer_gone()
        self.assertEqual(shell.answer(first), [])

    def test_a_disconnected_peer_has_its_requests_cancelled(self):
        shell = warm()
        shell.batch(0, 0, 0)
        self.assertEqual(len(shell.peer_gone()), 2)
        self.assertEqual(shell.report()["queued"], 0)


class TestAnswers(unittest.TestCase):
    def test_a_late_response_is_dropped_and_its_connection_closed(self):
        shell = warm()
        shell.batch(0, deadline_ms=50)
        conn = next(iter(shell.busy))
        shell.wait(60)
        self.assertEqual(shell.codes(), [SubCode.DEADLINE])
        self.assertEqual(shell.report()["in_flight"], 1)
        self.assertEqual(shell.answer(), [CloseConnection(conn)])

    def test_a_timed_out_connection_is_closed_after_late_answer_ms(self):
        shell = warm()
        shell.batch(0, deadline_ms=50)
        conn = next(iter(shell.busy))
        shell.wait(300)
        self.assertIn(conn, shell.closing)
        self.assertEqual(shell.report()["in_flight"], 1)
        shell.close(conn)
        self.assertEqual(shell.report()["in_flight"], 0)

    def test_a_response_to_another_call_is_invalid_and_closes_the_connection(self):
        for body in ({"call": "7.999"}, {"call": None}, {"hits": []}):
            shell = warm()
            shell.batch(0)
            conn = next(iter(shell.busy))
            shell.busy[conn].pop("call")
            self.assertIn(CloseConnection(conn), shell.answer(**body))
            self.assertEqual(shell.codes(), [SubCode.BROKEN])

    def test_refusals_map_to_reply_codes(self):
        cases = {
            (409, "version-gone"): SubCode.VERSION_GONE,
            (409, "range-moved"): SubCode.RANGE_MOVED,
            (504, "deadline"): SubCode.DEADLINE,
            (503, "draining"): SubCode.DRAINING,
            (503, "shed"): SubCode.SHED,
            (500, "fault"): SubCode.BROKEN,
        }
        for (status, code), expected in cases.items():
            shell = warm()
            shell.batch(0)
            shell.answer(status=status, code=code)
            self.assertEqual(shell.codes(), [expected], code)


class TestConcurrency(unittest.TestCase):
    def test_ramp_with_a_fractional_clock_opens_connections(self):
        # A float limit, from a clock with fractions, would fail as the number of connections.
        shell = FakeShell(spec(0, slots=4, connections=20))
        shell.connect()
        shell.health(0, health(0))
        shell.now_ms += 1000.5
        shell.apply(shell.core.tick(shell.now_ms))
        shell.batch(*[0] * 8, deadline_ms=5000)
        shell.connect()
        shell.answer()
        self.assertIsInstance(shell.report()["slots"], int)

    def test_a_cold_searcher_ramps_up_from_one_slot(self):
        shell = FakeShell(spec(0, slots=4))
        shell.connect()
        shell.wait(20)
        slots = []
        for _ in range(5):
            slots.append(shell.report()["slots"])
            shell.wait(500)
        self.assertEqual(slots, [1, 2, 3, 4, 4])

    def test_a_warming_searcher_and_a_new_incarnation_restart_the_ramp(self):
        shell = warm()
        shell.health(0, health(0, 1, "warming"))
        shell.wait(3000)
        self.assertEqual(shell.report()["slots"], 1)
        shell.health(0, health(0, 1, "ready"))
        self.assertEqual(shell.report()["states"], UpstreamState.WARMING)
        shell.wait(2000)
        self.assertEqual(shell.report()["slots"], 2)
        shell.health(0, health(0, 2))
        self.assertEqual(shell.report()["slots"], 1)

    def test_a_shed_response_is_forwarded_and_halves_the_limit_temporarily(self):
        shell = warm()
        shell.batch(0, 0, 0)
        reply = shell.answer(status=503, **SHED)[0]
        self.assertEqual((reply.code, reply.retry_after_ms), (SubCode.SHED, 50))
        self.assertEqual((shell.report()["slots"], len(shell.busy)), (1, 1))
        shell.wait(190)
        self.assertEqual(shell.report()["slots"], 1)
        shell.wait(30)
        self.assertEqual(shell.report()["slots"], 2)

    def test_a_shed_response_without_a_retry_after_gets_one(self):
        shell = FakeShell(spec(0, slots=1)).warm()
        shell.batch(0)
        reply = shell.answer(status=503, code="shed")[0]
        self.assertEqual(reply.retry_after_ms, 50)

    def test_requests_sent_before_the_limit_was_lowered_lower_it_only_once(self):
        shell = FakeShell(spec(0, slots=8, connections=25)).warm()
        shell.batch(*[0] * 8)
        shell.connect()
        self.assertEqual(len(shell.busy), 8)
        shell.now_ms += 2
        for _ in range(3):
            shell.answer(status=503, **SHED)
        self.assertEqual(shell.report()["slots"], 4)

    def test_shed_responses_at_a_limit_of_one_pause_with_exponential_back_off(self):
        shell = FakeShell(spec(0, slots=1), sweep_period_ms=1).warm()
        pauses = []
        for retry_after_ms in (0, 0, 0, 0, 350):
            shell.batch(0, deadline_ms=900)
            shell.answer(status=503, **SHED | {"retry_after_ms": retry_after_ms})
            started_ms = shell.now_ms
            while not shell.report()["slots"]:
                shell.wait(10)
            pauses.append(shell.now_ms - started_ms)
        self.assertEqual(pauses, [50, 100, 200, 200, 350])

    def test_timeouts_take_precedence_over_a_ready_health_document(self):
        shell = warm()
        for _ in range(3):
            shell.batch(0, deadline_ms=100)
            shell.connect()
            shell.wait(400)
            shell.close_requested()
            shell.connect()
        self.assertEqual(shell.report()["states"], UpstreamState.DOWN)
        self.assertEqual(shell.report()["slots"], 1)
        shell.health(0, health(0))
        self.assertEqual(shell.report()["states"], UpstreamState.WARMING)


class TestDrain(unittest.TestCase):
    def drained(self, signal) -> FakeShell:
        shell = warm()
        shell.batch(0, 0, 0)
        signal(shell)
        self.assertIn(SubCode.DRAINING, shell.codes())
        self.assertEqual(shell.report()["states"], UpstreamState.DRAINING)
        shell.health(0, health(0))
        self.assertEqual(shell.report()["states"], UpstreamState.DRAINING)
        shell.batch(0)
        self.assertEqual(shell.codes()[-1], SubCode.DRAINING)
        while shell.busy:
            shell.answer()
        self.assertEqual(set(shell.conns), set(shell.closing))
        return shell

    def test_by_register_until_a_newer_revision(self):
        shell = self.drained(lambda shell: shell.register(spec(0, leaving=True)))
        shell.health(0, health(0, 2))
        self.assertEqual(shell.report()["states"], UpstreamState.DRAINING)
        shell.close_requested()
        self.assertIsInstance(shell.register(spec(0))[0], OpenConnection)

    def test_by_the_vm_list_until_a_newer_incarnation_though_the_list_lags(self):
        shell = self.drained(lambda shell: shell.vm_list(0))
        shell.vm_list()
        shell.register(spec(0))
        self.assertEqual(shell.report()["states"], UpstreamState.DRAINING)
        shell.vm_list(0)
        shell.incarnations[0] = 2
        shell.restarted(0)
        shell.vm_list(0)
        self.assertEqual(shell.report()["states"], UpstreamState.WARMING)

    def test_by_health_until_a_newer_incarnation(self):
        shell = self.drained(lambda shell: shell.health(0, health(0, 1, "draining")))
        shell.health(0, health(0, 2))
        self.assertEqual(shell.report()["states"], UpstreamState.WARMING)

    def test_by_the_header_of_any_response(self):
        self.drained(lambda shell: shell.answer(draining=True))

    def test_by_the_header_of_a_health_response(self):
        upstream_id = spec(0).upstream_id

        def signal(shell: FakeShell) -> None:
            effects = shell.core.on_health(upstream_id, health(0), shell.now_ms, True)
            shell.leaving.add(upstream_id)
            shell.apply(effects)

        self.drained(signal)

    def test_a_late_response_of_an_older_incarnation_does_not_drain_the_new_one(self):
        shell = warm()
        shell.batch(0)
        shell.incarnations[0] = 2
        shell.restarted(0)
        shell.answer(draining=True)
        self.assertEqual(shell.report()["states"], UpstreamState.WARMING)
        shell.close_requested()
        shell.connect()
        shell.batch(0)
        self.assertEqual(len(shell.busy), 1)

    def test_by_a_refusal_with_the_draining_code(self):
        self.drained(lambda shell: shell.answer(status=503, code="draining"))

    def test_health_of_an_older_incarnation_does_not_clear_the_drain(self):
        shell = self.drained(lambda shell: shell.answer(draining=True))
        shell.health(0, health(0, 0))
        self.assertEqual(shell.report()["states"], UpstreamState.DRAINING)

    def test_a_drain_persists_across_a_change_of_owner(self):
        shell = self.drained(lambda shell: shell.vm_list(0))
        shell.register()
        shell.close_requested()
        shell.register(spec(0))
        self.assertEqual(shell.report()["states"], UpstreamState.DRAINING)


class TestConnections(unittest.TestCase):
    def test_spare_connections_are_kept_ready(self):
        shell = FakeShell(spec(0))
        self.assertEqual(len(shell.opening), 2)
        shell.warm()
        self.assertEqual(len(shell.batch(0)), 2)
        self.assertEqual(len(shell.opening), 1)

    def test_failed_connections_fail_the_queue_and_are_retried_one_at_a_time(self):
        shell = FakeShell(spec(0))
        shell.batch(0)
        for conn in list(shell.opening):
            shell.close(conn)
        self.assertEqual(shell.codes(), [SubCode.LOST])
        self.assertEqual(shell.report()["states"], UpstreamState.DOWN)
        shell.batch(0)
        self.assertGreater(list(shell.replies.values())[-1].retry_after_ms, 0)
        shell.wait(60)
        self.assertEqual(len(shell.opening), 1)

    def test_a_connection_that_does_not_open_times_out(self):
        shell = FakeShell(spec(0))
        shell.wait(110)
        self.assertEqual(len(shell.closing), 2)

    def test_a_lower_cap_closes_idle_connections_and_then_busy_ones(self):
        shell = warm()
        shell.batch(0, 0)
        shell.connect()
        shell.register(spec(0, connections=2))
        shell.close_requested()
        self.assertEqual(len(shell.conns), 2)
        shell.answer()
        shell.close_requested()
        shell.answer()
        self.assertEqual(len(shell.conns), 1)

    def test_a_share_halves_slots_and_connections(self):
        shell = warm()
        shell.register(spec(0, connections=25, share=0.5))
        shell.batch(0, 0)
        self.assertEqual(len(shell.busy), 1)


class TestHealth(unittest.TestCase):
    def test_holdings_are_published_when_they_change(self):
        shell = FakeShell(spec(0))
        (effect,) = shell.health(0, health(0))
        self.assertIsInstance(effect, PublishHolding)
        self.assertEqual(effect.report.los, (0,))
        self.assertEqual(shell.core.holdings(), (effect.report,))
        self.assertEqual(shell.health(0, health(0)), [])
        (effect,) = shell.health(0, health(0) | {"collections": {}})
        self.assertEqual(effect.report.los, ())

    def test_a_malformed_document_or_one_of_another_searcher_changes_nothing(self):
        shell = warm()
        other = health(1, 2, "draining")
        for doc in (other, {}, {"name": 1}, health(0, 2) | {"collections": {"x": 1}}, None):
            self.assertEqual(shell.core.on_health(spec(0).upstream_id, doc, shell.now_ms), [])
        self.assertEqual(shell.report()["states"], UpstreamState.UNKNOWN)
        shell.health(0, health(0))
        self.assertEqual(shell.report()["states"], UpstreamState.READY)

    def test_responses_take_precedence_over_a_failing_health_endpoint(self):
        shell = warm()
        shell.batch(0)
        shell.answer()
        for _ in range(5):
            shell.health(0, None)
        self.assertEqual(shell.report()["states"], UpstreamState.READY)
        self.assertEqual(shell.report()["slots"], 2)

    def test_health_of_an_older_incarnation_is_ignored(self):
        shell = warm()
        shell.health(0, health(0, 2))
        shell.core.on_health(spec(0).upstream_id, health(0, 1, "draining"), shell.now_ms)
        self.assertEqual(shell.report()["states"], UpstreamState.WARMING)


if __name__ == "__main__":
    unittest.main()
