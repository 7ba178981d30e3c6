"""Unit tests of tickets, idempotency keys and the relay's duplicate check."""

import unittest
from dataclasses import replace

from rhubarbhinge.once import AnswerOutcome, AnswerRedirect, OutcomeKind, RunDeduplicator, StartRun
from rhubarbhinge.once.tests._fakes import BODIES, ENTRIES, KEYS, SETTINGS, Fleet
from rhubarbhinge.wire._run_request import RunRequest

OWNER, OTHER = ENTRIES[:2]
BODY = BODIES[0]


class TicketServiceTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.service = self.fleet.services[OWNER]
        self.ticket = self.mint()

    def mint(self) -> str:
        return self.fleet.answers[self.fleet.mint(OWNER, BODY, None)].ticket

    def code(self, request: int) -> tuple[str, str]:
        answer = self.fleet.answers[request]
        return answer.kind.value, answer.code

    def upstream(self, kind: OutcomeKind, payload: bytes = b"") -> None:
        ticket, fleet = self.ticket, self.fleet
        fleet.act(
            OWNER, lambda service, now_ms: service.on_upstream(ticket, kind, payload, 7, now_ms)
        )

    def start_and_send(self) -> int:
        request = self.fleet.run(OWNER, self.ticket, BODY)
        self.assertTrue(self.service.on_send(self.ticket, self.fleet.now_ms).send)
        return request

    def test_read_never_runs_the_ticket(self):
        first = self.fleet.read(OWNER, self.ticket)
        self.assertEqual(("unknown", "not-started"), self.code(first))
        self.assertEqual([], self.fleet.outboxes[OWNER])

    def test_another_body_is_not_run_and_leaves_the_ticket_usable(self):
        wrong = self.fleet.run(OWNER, self.ticket, BODIES[1])
        self.assertEqual(("refused_not_run", "body-mismatch"), self.code(wrong))
        self.fleet.run(OWNER, self.ticket, BODY)
        self.assertEqual(1, len(self.fleet.outboxes[OWNER]))

    def test_send_permit_is_given_once(self):
        self.start_and_send()
        self.assertFalse(self.service.on_send(self.ticket, self.fleet.now_ms).send)

    def test_process_suspended_before_the_send_does_not_send(self):
        request = self.fleet.run(OWNER, self.ticket, BODY)
        self.fleet.sleep(SETTINGS.run_ms)
        self.fleet.send_run(OWNER, "a/relay")
        self.assertEqual([], self.fleet.network)
        self.assertEqual(("refused_not_run", "late-send"), self.code(request))

    def test_ticket_that_expires_after_the_start_is_not_sent(self):
        self.fleet.sleep(SETTINGS.lifetime_ms - 1)
        self.fleet.run(OWNER, self.ticket, BODY)
        self.fleet.sleep(1)
        self.assertFalse(self.service.on_send(self.ticket, self.fleet.now_ms).send)

    def test_expiry(self):
        self.fleet.sleep(SETTINGS.lifetime_ms)
        late = self.fleet.run(OWNER, self.ticket, BODY)
        self.assertEqual(("refused_not_run", "ticket-expired-unused"), self.code(late))
        self.fleet.sleep(SETTINGS.keep_ms)
        self.fleet.tick(OWNER)
        later = self.fleet.read(OWNER, self.ticket)
        self.assertEqual(("unknown", "ticket-expired"), self.code(later))

    def test_refused_ticket_cannot_be_run_again(self):
        first = self.start_and_send()
        self.upstream(OutcomeKind.REFUSED_NOT_RUN)
        again = self.fleet.run(OWNER, self.ticket, BODY)
        self.assertEqual(("refused_not_run", "upstream-refused"), self.code(first))
        self.assertEqual(self.fleet.answers[first], self.fleet.answers[again])
        self.assertEqual(7, self.fleet.answers[first].retry_after_ms)

    def test_late_answer_replaces_unknown_and_late_refusal_does_not(self):
        request = self.start_and_send()
        self.fleet.sleep(SETTINGS.run_ms)
        self.upstream(OutcomeKind.REFUSED_NOT_RUN)
        self.assertEqual(("unknown", "upstream-unknown"), self.code(request))
        self.upstream(OutcomeKind.RAN, b"done")
        self.upstream(OutcomeKind.REFUSED_NOT_RUN)
        self.assertEqual(("ran", "done"), self.code(self.fleet.read(OWNER, self.ticket)))

    def test_size_of_results_is_limited_each_and_in_total(self):
        codes = [self.run_with_result(size) for size in (9, 8, 8, 8, 4)]
        self.assertEqual(["result-dropped", "done", "done", "result-dropped", "done"], codes)
        self.fleet.sleep(SETTINGS.lifetime_ms + SETTINGS.keep_ms)
        self.fleet.tick(OWNER)
        self.assertEqual("done", self.run_with_result(8))

    def run_with_result(self, size: int) -> str:
        self.ticket = self.mint()
        request = self.start_and_send()
        self.upstream(OutcomeKind.RAN, b"x" * size)
        kind, code = self.code(request)
        self.assertEqual("ran", kind)
        return code

    def test_number_of_tickets_and_waiters_is_limited(self):
        for _ in range(SETTINGS.most_tickets - 1):
            self.mint()
        full = self.fleet.mint(OWNER, BODY, None)
        self.assertEqual(("refused_not_run", "tickets-full"), self.code(full))
        wait_ms = SETTINGS.lifetime_ms + SETTINGS.keep_ms
        self.assertEqual(wait_ms, self.fleet.answers[full].retry_after_ms)
        copies = [self.fleet.run(OWNER, self.ticket, BODY) for _ in range(5)]
        self.assertEqual(("unknown", "waiters-full"), self.code(copies[-1]))
        self.fleet.sleep(wait_ms)
        self.fleet.tick(OWNER)
        self.assertIsInstance(
            self.fleet.answers[self.fleet.mint(OWNER, BODY, None)], AnswerRedirect
        )

    def test_drain_stops_minting_and_lets_tickets_run(self):
        report = self.service.drain(self.fleet.now_ms)
        self.assertEqual((1, 0, 0, SETTINGS.lifetime_ms), _fields(report))
        refused = self.fleet.mint(OWNER, BODY, None)
        self.assertEqual(("refused_not_run", "draining"), self.code(refused))
        self.start_and_send()
        self.assertEqual((0, 1, 0, SETTINGS.run_ms), _fields(self.service.drain(self.fleet.now_ms)))

    def test_restarted_owner_does_not_know_the_ticket(self):
        asked = self.fleet.run(OTHER, self.ticket, BODY)
        self.fleet.start_entry(OWNER, self.fleet.now_ms)
        self.fleet.flush()
        self.assertEqual(("unknown", "ticket-other-incarnation"), self.code(asked))
        here = self.fleet.run(OWNER, self.ticket, BODY)
        self.assertEqual(("unknown", "ticket-other-incarnation"), self.code(here))

    def test_owner_that_does_not_reply(self):
        asked = self.fleet.run(OTHER, self.ticket, BODY)
        self.fleet.sleep(SETTINGS.forward_ms)
        self.fleet.tick(OTHER)
        self.assertEqual(("unknown", "owner-silent"), self.code(asked))

    def test_call_is_resent_after_a_lost_link_and_runs_once(self):
        """Guards against reporting unknown when a running owner has not received the ticket."""
        asked = self.fleet.run(OTHER, self.ticket, BODY)
        forwarded = self.fleet.network.pop()
        self.fleet.act(OTHER, lambda service, now_ms: service.on_link_lost(OWNER, now_ms))
        self.assertNotIn(asked, self.fleet.answers)
        incarnation = self.service._signer.incarnation
        for _ in range(2):
            self.fleet.act(OTHER, lambda service, _: service.on_link_up(OWNER, incarnation))
        self.assertEqual([forwarded, forwarded], self.fleet.network)
        self.fleet.settle()
        self.assertEqual(("ran", "done"), self.code(asked))
        runs = [line for line in self.fleet.history if line.startswith("run ")]
        self.assertEqual(1, len(runs))

    def test_duplicate_call_waits_once(self):
        self.fleet.run(OTHER, self.ticket, BODY)
        _, _, call = self.fleet.network.pop()
        for _ in range(SETTINGS.most_waiters + 2):
            self.fleet.act(OWNER, lambda service, now_ms: service.on_forwarded(call, now_ms))
        self.assertEqual([], self.fleet.network)

    def test_call_is_not_resent_to_another_incarnation_of_the_owner(self):
        self.fleet.run(OTHER, self.ticket, BODY)
        self.fleet.network.clear()
        incarnation = self.service._signer.incarnation + 1
        self.fleet.act(OTHER, lambda service, _: service.on_link_up(OWNER, incarnation))
        self.assertEqual([], self.fleet.network)
        self.assertEqual({(OWNER, incarnation - 1)}, self.fleet.services[OTHER].pending_owners())

    def test_invalid_tickets_are_unknown(self):
        wrong = self.ticket[:-1] + ("A" if self.ticket[-1] != "A" else "Q")
        for text in ("", "x" * 40, wrong):
            effects = self.service.on_run(99, text, BODY, self.fleet.now_ms)
            self.assertIsInstance(effects[0], AnswerOutcome)
            self.assertEqual(OutcomeKind.UNKNOWN, effects[0].outcome.kind)

    def test_ticket_is_consumed_before_the_run_starts(self):
        effects = self.service.on_run(98, self.ticket, BODY, self.fleet.now_ms)
        self.assertIsInstance(effects[0], StartRun)
        self.assertEqual([], self.service.on_run(99, self.ticket, BODY, self.fleet.now_ms))


class KeyTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.owners = self.fleet.keys[OWNER]._owners.owners(KEYS[0], self.fleet.now_ms)
        self.third = next(name for name in ENTRIES if name not in self.owners)
        self.ticket = self.ask(self.third).ticket

    def ask(self, entry: str, body: bytes = BODY):
        request = self.fleet.mint(entry, body, KEYS[0])
        self.fleet.flush()
        return self.fleet.answers.get(request)

    def test_every_entry_returns_the_same_ticket(self):
        self.assertEqual({self.ticket}, {self.ask(entry).ticket for entry in ENTRIES})
        self.assertEqual(
            [0, 0, 1], sorted(self.fleet.services[name].ticket_count for name in ENTRIES)
        )

    def test_another_body_is_refused(self):
        self.assertEqual("key-mismatch", self.ask(OWNER, BODIES[1]).code)

    def test_copy_is_used_when_the_first_owner_is_lost(self):
        self.fleet.start_entry(self.owners[0], self.fleet.now_ms)
        self.assertEqual(self.ticket, self.ask(self.third).ticket)

    def test_refused_request_with_a_key_is_unknown(self):
        service = self.fleet.services[self.third]
        for _ in range(SETTINGS.most_tickets):
            self.fleet.mint(self.third, BODY, None)
        self.assertEqual(("unknown", "tickets-full"), self.kind_and_code())
        service.drain(self.fleet.clock(self.third))
        self.assertEqual(("unknown", "draining"), self.kind_and_code())

    def kind_and_code(self) -> tuple[str, str]:
        found = self.ask(self.third)
        return found.kind, found.code

    def test_unconfirmed_copy_is_not_used(self):
        copy = self.fleet.keys[self.owners[1]]._bindings._bindings
        copy[KEYS[0]] = replace(copy[KEYS[0]], confirmed=False)
        self.fleet.start_entry(self.owners[0], self.fleet.now_ms)
        self.assertEqual("key-owner-young", self.ask(self.third).code)

    def test_key_is_not_bound_while_both_owners_are_young(self):
        for name in self.owners:
            self.fleet.start_entry(name, self.fleet.now_ms)
        refused = self.ask(self.third)
        self.assertEqual(("unknown", "key-owner-young"), (refused.kind, refused.code))

    def test_key_is_not_bound_when_both_owners_were_delisted(self):
        self.fleet.listed = frozenset({self.third})
        self.fleet.sleep(1)
        self.fleet.split = frozenset(self.owners)
        request = self.fleet.mint(self.third, BODY, KEYS[0])
        self.fleet.flush()
        for _ in range(2):
            self.fleet.sleep(SETTINGS.key_claim_ms)
            self.fleet.tick(self.third)
        self.assertEqual("key-owner-gone", self.fleet.answers[request].code)

    def test_delisted_owner_binds_no_key(self):
        self.fleet.listed = frozenset(ENTRIES) - {self.owners[0]}
        self.fleet.sleep(1)
        for name in self.owners:
            self.fleet.keys[name]._bindings._bindings.clear()
        self.assertEqual("key-not-owner", self.ask(self.third).code)

    def test_delisted_owner_keeps_its_rank_for_one_and_a_half_windows(self):
        self.fleet.listed = frozenset(ENTRIES) - {self.owners[0]}
        self.fleet.sleep(1)
        delisted_rank_ms = SETTINGS.key_window_ms * 3 // 2
        self.fleet.sleep(delisted_rank_ms - 1)
        self.assertEqual("key-not-owner", self.ask(self.third).code)
        self.fleet.sleep(1)
        self.assertIsInstance(self.ask(self.third), AnswerRedirect)

    def test_partitioned_sides_return_two_tickets_only_a_window_apart(self):
        shown_ms = {self.owners[0]: [], self.third: []}
        self.fleet.split = frozenset(self.owners)
        self.fleet.listed = frozenset({self.third})
        for _ in range(2 * SETTINGS.key_window_ms // SETTINGS.key_claim_ms):
            self.fleet.sleep(SETTINGS.key_claim_ms // 2)
            for name, times_ms in shown_ms.items():
                self.fleet.tick(name)
                if isinstance(self.ask(name), AnswerRedirect):
                    times_ms.append(self.fleet.now_ms)
            self.fleet.sleep(SETTINGS.key_claim_ms // 2)
        last_ms, first_ms = shown_ms[self.owners[0]][-1], shown_ms[self.third][0]
        self.assertGreaterEqual(first_ms - last_ms, SETTINGS.key_window_ms)

    def test_partitioned_owner_stops_binding_after_a_quarter_window(self):
        self.fleet.split = frozenset(self.owners)
        self.fleet.sleep(SETTINGS.key_window_ms // 4)
        self.assertEqual("key-list-old", self.ask(self.owners[0]).code)

    def test_owners_that_hold_two_tickets_are_a_conflict(self):
        first = self.fleet.keys[self.owners[0]]
        held = first._bindings._bindings
        held[KEYS[0]] = replace(held[KEYS[0]], ticket="other")
        self.assertEqual("key-conflict", self.ask(self.third).code)

    def test_window_starts_at_the_last_request(self):
        self.fleet.sleep(SETTINGS.key_window_ms - 1)
        self.assertEqual(self.ticket, self.ask(self.third).ticket)
        self.fleet.sleep(SETTINGS.key_window_ms - 1)
        self.assertEqual(self.ticket, self.ask(self.third).ticket)
        self.fleet.sleep(SETTINGS.key_window_ms)
        self.assertNotEqual(self.ticket, self.ask(self.third).ticket)


class RunDeduplicatorTest(unittest.TestCase):
    def setUp(self):
        self.deduplicator = RunDeduplicator("a/relay", 5, window_ms=100, max_tickets=2)

    def request(self, ticket: str, incarnation: int = 5, deadline_ms: int = 10) -> RunRequest:
        return RunRequest("a/entry", 1, "a/relay", incarnation, ticket, "order", b"", deadline_ms)

    def codes(self, *replies) -> list[tuple[str, str] | None]:
        return [reply and (reply.kind, reply.code) for reply in replies]

    def test_ticket_is_sent_once(self):
        request = self.request("t")
        found = [self.deduplicator.on_request(request, 0), self.deduplicator.may_send(request, 9)]
        found += [self.deduplicator.on_request(request, 9), self.deduplicator.may_send(request, 9)]
        again = ("unknown", "run-duplicate")
        self.assertEqual([None, None, again, again], self.codes(*found))

    def test_suspended_relay_does_not_send(self):
        request = self.request("t")
        found = [self.deduplicator.on_request(request, 0), self.deduplicator.may_send(request, 10)]
        self.assertEqual([None, ("refused_not_run", "late-send")], self.codes(*found))

    def test_delayed_message_is_not_run(self):
        found = self.deduplicator.on_request(self.request("t"), 10)
        self.assertEqual([("refused_not_run", "late-send")], self.codes(found))

    def test_restarted_relay_refuses_messages_to_its_previous_incarnation(self):
        found = self.deduplicator.on_request(self.request("t", incarnation=4), 0)
        self.assertEqual([("unknown", "ticket-other-incarnation")], self.codes(found))

    def test_number_of_remembered_tickets_is_limited(self):
        found = [self.deduplicator.on_request(self.request(name), 0) for name in "abc"]
        found.append(self.deduplicator.on_request(self.request("c", deadline_ms=110), 100))
        self.assertEqual(
            [None, None, ("refused_not_run", "tickets-full"), None], self.codes(*found)
        )


def _fields(report) -> tuple[int, int, int, int]:
    return report.unused, report.running, report.forwards, report.open_ms
