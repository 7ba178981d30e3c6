"""Checker of histories of concurrent runs against the guarantees for tickets and keys.

A history is text, one event per line, in the order of occurrence:

* ``mint TICKET -``: an entry minted a ticket;
* ``send TICKET RELAY``: the entry sent it to a relay;
* ``run TICKET UPSTREAM``: an upstream ran it;
* ``answer TICKET KIND``: a caller received its outcome;
* ``bind TICKET KEY``: a caller received this ticket for its key, within one window.

Answers that concern a body rather than the ticket, such as ``body-mismatch``, are not recorded.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rhubarbhinge.once._outcome import OutcomeKind
from rhubarbhinge.once._violation import Violation, ViolationKind

_FIELDS = 3


@dataclass(slots=True)
class _HistoryState:
    minted: set[str] = field(default_factory=set)
    sent: set[str] = field(default_factory=set)
    ran: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    bound: dict[str, str] = field(default_factory=dict)


def check_history(lines: Iterable[str]) -> list[Violation]:
    """Check a history.

    :param lines: the events, oldest first; empty lines are skipped.
    :returns: all violations in the order of the lines; empty if all guarantees held.
    """
    state = _HistoryState()
    violations: list[Violation] = []
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        for fault, subject in _check_line(state, line):
            violations.append(Violation(fault, number, subject))
    return violations


def _check_line(state: _HistoryState, line: str) -> list[tuple[ViolationKind, str]]:
    parts = line.split()
    if len(parts) != _FIELDS or parts[0] not in _CHECKS:
        return [(ViolationKind.MALFORMED, line)]
    name, ticket, detail = parts
    return _CHECKS[name](state, ticket, detail)


def _faults(checks: dict[ViolationKind, bool], ticket: str) -> list[tuple[ViolationKind, str]]:
    return [(fault, ticket) for fault, holds in checks.items() if holds]


def _on_mint(state: _HistoryState, ticket: str, _detail: str) -> list[tuple[ViolationKind, str]]:
    state.minted.add(ticket)
    return []


def _on_send(state: _HistoryState, ticket: str, _relay: str) -> list[tuple[ViolationKind, str]]:
    checks = {
        ViolationKind.SENT_UNMINTED: ticket not in state.minted,
        ViolationKind.SENT_TWICE: ticket in state.sent,
        ViolationKind.REFUSED_THEN_SENT: ticket in state.refused,
    }
    state.sent.add(ticket)
    return _faults(checks, ticket)


def _on_run(state: _HistoryState, ticket: str, _upstream: str) -> list[tuple[ViolationKind, str]]:
    checks = {
        ViolationKind.RAN_UNSENT: ticket not in state.sent,
        ViolationKind.RAN_TWICE: ticket in state.ran,
        ViolationKind.REFUSED_BUT_RAN: ticket in state.refused,
    }
    state.ran.add(ticket)
    return _faults(checks, ticket)


def _on_answer(state: _HistoryState, ticket: str, kind: str) -> list[tuple[ViolationKind, str]]:
    if kind == OutcomeKind.RAN:
        return [] if ticket in state.ran else [(ViolationKind.ANSWERED_WITHOUT_RUN, ticket)]
    if kind == OutcomeKind.REFUSED_NOT_RUN:
        state.refused.add(ticket)
        return [(ViolationKind.REFUSED_BUT_RAN, ticket)] if ticket in state.ran else []
    return (
        []
        if kind == OutcomeKind.UNKNOWN
        else [(ViolationKind.MALFORMED, f"answer {ticket} {kind}")]
    )


def _on_bind(state: _HistoryState, ticket: str, key: str) -> list[tuple[ViolationKind, str]]:
    first = state.bound.setdefault(key, ticket)
    return [] if first == ticket else [(ViolationKind.KEY_TWO_TICKETS, key)]


_CHECKS = {
    "mint": _on_mint,
    "send": _on_send,
    "run": _on_run,
    "answer": _on_answer,
    "bind": _on_bind,
}
