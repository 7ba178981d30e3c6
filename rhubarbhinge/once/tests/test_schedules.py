"""Property tests of entries, relays and an upstream with failures in any order."""

import unittest
from contextlib import ExitStack
from unittest import mock

from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st

from rhubarbhinge.once import AnswerRedirect, SendPermit, Signer, StartRun, check_history
from rhubarbhinge.once._key_bindings import KeyBindings
from rhubarbhinge.once._ticket_record import TicketRecord, TicketState
from rhubarbhinge.once._ticket_store import TicketStore
from rhubarbhinge.once.tests._fakes import BODIES, ENTRIES, KEYS, RELAYS, SETTINGS, Fleet

PROPERTY_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
SEARCH_SETTINGS = settings(PROPERTY_SETTINGS, max_examples=1_000, phases=[Phase.generate])
STEPS = ("mint", "flush") + ("run",) * 5 + ("read",) + ("send",) * 4 + ("upstream",) * 5
STEPS += ("deliver",) * 9 + ("repeat",) * 2 + ("drop", "wait", "wait", "sleep", "tick")
STEPS += ("restart-entry", "restart-relay", "split", "gone")
KEYED_STEPS = STEPS + ("mint",) * 7 + ("flush",) * 6 + ("list", "restart-entry", "sleep", "sleep")
STEP = st.tuples(st.sampled_from(STEPS), st.integers(0, 11), st.integers(0, 11))
KEYED_STEP = st.tuples(st.sampled_from(KEYED_STEPS), st.integers(0, 11), st.integers(0, 11))
KEYED_SCHEDULE = st.lists(KEYED_STEP, min_size=30, max_size=60)
SCHEDULE = st.lists(STEP, min_size=30, max_size=60)
WAIT_MS = 7
SLEEP_MS = 60


def run_schedule(fleet: Fleet, schedule: list[tuple[str, int, int]], keyed: bool) -> list[str]:
    _run_step(fleet, "mint", 0, 0, keyed)
    _run_step(fleet, "mint", 1, 1, keyed)
    for step, first, second in schedule:
        _run_step(fleet, step, first, second, keyed)
    return fleet.history


def _run_step(fleet: Fleet, step: str, first: int, second: int, keyed: bool) -> None:
    entry = ENTRIES[first % len(ENTRIES)]
    relay = RELAYS[second % len(RELAYS)]
    match step:
        case "mint":
            key = KEYS[second % len(KEYS)] if keyed else None
            body = BODIES[KEYS.index(key)] if key else BODIES[second % len(BODIES)]
            fleet.mint(entry, body, key)
        case "run" | "read" if fleet.tickets:
            ticket, body = fleet.tickets[second % len(fleet.tickets)]
            fleet.run(entry, ticket, body) if step == "run" else fleet.read(entry, ticket)
        case "send":
            fleet.send_run(_pick([n for n in ENTRIES if fleet.outboxes[n]], first), relay)
        case "upstream":
            fleet.call_upstream(_pick([n for n in RELAYS if fleet.inboxes[n]], second), first)
        case "flush":
            fleet.flush()
        case "deliver" | "repeat":
            fleet.deliver(first, step == "repeat")
        case "drop" if fleet.network:
            del fleet.network[first % len(fleet.network)]
        case "wait" | "sleep":
            fleet.sleep(WAIT_MS if step == "wait" else SLEEP_MS)
        case "tick":
            fleet.tick(entry)
        case "restart-entry":
            fleet.start_entry(entry, fleet.now_ms)
        case "restart-relay":
            fleet.start_relay(relay)
        case "split":
            fleet.split = frozenset() if fleet.split else frozenset({entry, relay})
        case "gone":
            other = ENTRIES[second % len(ENTRIES)]
            incarnation = fleet.services[other]._signer.incarnation
            fleet.act(
                entry, lambda service, now_ms: service.on_peer_gone(other, incarnation, now_ms)
            )
        case "list":
            fleet.listed ^= {entry}


def _pick(names: list[str], number: int) -> str:
    return names[number % len(names)] if names else ENTRIES[0]


def _send_first_start(self, record, requester, text, body, now_ms):
    record.deadline_ms = now_ms + SETTINGS.run_ms
    record.waiters.append(requester)
    return [StartRun(text, record.ticket.action, body, record.deadline_ms)]


def _send_first_permit(self, text, now_ms):
    record = self._own_record(text)
    if record is not None:
        record.state = TicketState.SENT
        self._running.add(record.ticket.sequence)
    return SendPermit(record is not None)


def _take_over(self, requester, ticket, text, body, now_ms):
    self._records.setdefault(ticket.sequence, TicketRecord(ticket, text))
    return RUN(self, requester, ticket, text, body, now_ms)


def _unchecked_permit(self, text, now_ms):
    record = self._own_record(text)
    if record is not None and record.state is TicketState.CONSUMED:
        record.state = TicketState.SENT
    return SendPermit(True)


RUN = TicketStore.run
INJECTED_FAULTS = {
    "consumed after the send": [
        mock.patch.object(TicketStore, "_start", _send_first_start),
        mock.patch.object(TicketStore, "on_send", _send_first_permit),
    ],
    "a new incarnation takes over": [
        mock.patch.object(TicketStore, "run", _take_over),
        mock.patch.object(Signer, "owns", lambda self, ticket: ticket.entry == self.entry),
    ],
    "no check before the send": [mock.patch.object(TicketStore, "on_send", _unchecked_permit)],
    "a young owner binds keys": [mock.patch.object(KeyBindings, "_refusal", lambda *_: None)],
}


class ScheduleTest(unittest.TestCase):
    @PROPERTY_SETTINGS
    @given(SCHEDULE)
    def test_tickets(self, schedule):
        self.assertEqual([], check_history(run_schedule(Fleet(), schedule, keyed=False)))

    @PROPERTY_SETTINGS
    @given(KEYED_SCHEDULE, st.booleans())
    def test_keys(self, schedule, past_window):
        self.assertEqual(
            [], check_history(run_schedule(Fleet(past_window=past_window), schedule, keyed=True))
        )

    def test_injected_faults_are_found(self):
        for name, patches in INJECTED_FAULTS.items():
            keyed = "keys" in name
            with self.subTest(name), ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(patch)
                steps = KEYED_SCHEDULE if keyed else SCHEDULE
                self.assertTrue(
                    find(steps, lambda s, k=keyed: _violates(s, k), settings=SEARCH_SETTINGS)
                )

    @PROPERTY_SETTINGS
    @given(SCHEDULE)
    def test_every_request_is_answered_once_all_deadlines_have_passed(self, schedule):
        fleet = Fleet()
        run_schedule(fleet, [step for step in schedule if step[0] != "restart-entry"], keyed=True)
        for _ in range(2):
            fleet.sleep(SETTINGS.forward_ms + SETTINGS.key_claim_ms)
            for entry in ENTRIES:
                fleet.tick(entry)
        self.assertEqual(set(fleet.requests), set(fleet.answers))

    def test_without_failures_all_requests_get_the_outcome_of_one_run(self):
        fleet = Fleet()
        first = fleet.mint(ENTRIES[0], BODIES[0], KEYS[0])
        fleet.settle()
        self.assertIsInstance(fleet.answers[first], AnswerRedirect)
        ticket = fleet.answers[first].ticket
        copies = [fleet.run(entry, ticket, BODIES[0]) for entry in ENTRIES]
        copies.append(fleet.read(ENTRIES[1], ticket))
        fleet.settle()
        self.assertEqual({("ran", b"done")}, {_shown(fleet, copy) for copy in copies})
        self.assertEqual([], check_history(fleet.history))


def _violates(schedule: list[tuple[str, int, int]], keyed: bool) -> bool:
    return bool(check_history(run_schedule(Fleet(), schedule, keyed)))


def _shown(fleet: Fleet, request: int) -> tuple[str, bytes]:
    answer = fleet.answers[request]
    return answer.kind.value, answer.result
