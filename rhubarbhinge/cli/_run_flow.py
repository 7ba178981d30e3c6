"""Run an action once through an entry, and say honestly what is known of it.

The request that starts the run is sent a single time. When its answer is lost, only the outcome is
read again, which runs nothing.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urljoin

from rhubarbhinge.cli._answers import fault_of
from rhubarbhinge.cli._http import Caller, CallFailed, HttpAnswer, HttpCall
from rhubarbhinge.once import OutcomeCode, OutcomeKind
from rhubarbhinge.register import Fault

RUN_PATH = "/v1/run"
KEY_HEADER = "Idempotency-Key"
READS = 5
"""Times that a lost outcome is read again."""

READ_PAUSE_MS = 1_000
"""Time between these, in milliseconds."""

FINAL_REFUSALS = frozenset(
    {OutcomeCode.UPSTREAM_REFUSED, OutcomeCode.EXPIRED_UNUSED, OutcomeCode.LATE_SEND}
)
"""Refusals that, read from a ticket, say of the run itself that it never took place."""

_TICKET_PATH = re.compile(r"/v1/run/[A-Za-z0-9._~=-]{1,1024}")


@dataclass(frozen=True, slots=True)
class RunReport:
    """What is known of a run.

    :param kind: One of the three outcomes.
    :param fault: Code, message and advice.
    :param ticket: Ticket by which the outcome can be read again, if there is one.
    :param result: The upstream's result, when it ran.
    """

    kind: OutcomeKind
    fault: Fault
    ticket: str = ""
    result: Any = None


def run_once(
    caller: Caller,
    base_url: str,
    request: HttpCall,
    pause: Callable[[int], None],
    on_ticket: Callable[[str], None],
) -> RunReport:
    """Ask for a ticket, and use it once.

    :param caller: Makes calls.
    :param base_url: URL of the entry.
    :param request: The call that asks for a ticket.
    :param pause: Waits for milliseconds.
    :param on_ticket: Told of the ticket before it is used, in case this process is stopped.
    :returns: What is known.
    """
    first = caller(request)
    if isinstance(first, CallFailed):
        return _no_ticket(request, first.message, first.sent)
    if first.status != 307:
        message = f"HTTP status {first.status} brought no ticket"
        return _decided(first) or _no_ticket(request, message, sent=True)
    path = _ticket_path(base_url, first.location)
    if path is None:
        message = "the entry answered with a redirect to another place"
        return _report(OutcomeKind.REFUSED_NOT_RUN, "strange-redirect", message, "check the entry")
    on_ticket(path.removeprefix(f"{RUN_PATH}/"))
    return _use_ticket(caller, base_url, path, request, pause)


def read_outcome(caller: Caller, base_url: str, ticket: str, timeout_ms: int) -> RunReport:
    """Read the outcome of a ticket, which runs nothing.

    :param caller: Makes calls.
    :param base_url: URL of the entry.
    :param ticket: The ticket.
    :param timeout_ms: Longest time for the answer, in milliseconds.
    :returns: What is known.
    """
    answer = caller(HttpCall("GET", f"{base_url}{RUN_PATH}/{ticket}", timeout_ms))
    if isinstance(answer, CallFailed):
        return _unknown("no-answer", answer.message, ticket)
    report = _outcome(answer)
    if report is None:
        message = f"HTTP status {answer.status} tells no outcome"
        return _unknown("strange-answer", message, ticket)
    if report.kind is OutcomeKind.REFUSED_NOT_RUN and report.fault.code not in FINAL_REFUSALS:
        return RunReport(OutcomeKind.UNKNOWN, report.fault, ticket)
    return RunReport(report.kind, report.fault, ticket, report.result)


def is_ticket(text: str) -> bool:
    """Tell whether a text can be a ticket.

    :param text: The text.
    :returns: Whether it is made of a ticket's characters.
    """
    return _TICKET_PATH.fullmatch(f"{RUN_PATH}/{text}") is not None


def _use_ticket(
    caller: Caller, base_url: str, path: str, request: HttpCall, pause: Callable[[int], None]
) -> RunReport:
    ticket = path.removeprefix(f"{RUN_PATH}/")
    # The key has done its part: the ticket alone names the run now.
    call = HttpCall("POST", base_url + path, request.timeout_ms, request.body)
    answer = caller(call)
    if isinstance(answer, CallFailed) and not answer.sent:
        message = f"the request didn't leave: {answer.message}"
        return _report(OutcomeKind.REFUSED_NOT_RUN, "not-sent", message, "send it anew", ticket)
    report = None if isinstance(answer, CallFailed) else _decided(answer)
    if report is not None and report.kind is not OutcomeKind.UNKNOWN:
        return RunReport(report.kind, report.fault, ticket, report.result)
    return _read_again(caller, base_url, ticket, request.timeout_ms, pause)


def _read_again(
    caller: Caller, base_url: str, ticket: str, timeout_ms: int, pause: Callable[[int], None]
) -> RunReport:
    report = read_outcome(caller, base_url, ticket, timeout_ms)
    for _ in range(READS - 1):
        if report.kind is not OutcomeKind.UNKNOWN:
            break
        pause(READ_PAUSE_MS)
        report = read_outcome(caller, base_url, ticket, timeout_ms)
    return report


def _ticket_path(base_url: str, location: str) -> str | None:
    """Give the path of a redirect if it stays at the entry; others may be anywhere."""
    if not location.isascii() or not location.isprintable():
        return None
    path = urljoin(base_url + RUN_PATH, location).removeprefix(base_url)
    return path if _TICKET_PATH.fullmatch(path) else None


def _decided(answer: HttpAnswer) -> RunReport | None:
    """Read an outcome, or an error that says in so many words that nothing was run."""
    error = answer.objects().get("error")
    if isinstance(error, dict) and error.get("not_run") is True:
        return RunReport(OutcomeKind.REFUSED_NOT_RUN, fault_of(error))
    return _outcome(answer)


def _outcome(answer: HttpAnswer) -> RunReport | None:
    found = answer.objects()
    if found.get("outcome") not in list(OutcomeKind):
        return None
    ticket = found.get("ticket")
    return RunReport(
        OutcomeKind(found["outcome"]),
        fault_of(found),
        ticket if isinstance(ticket, str) and is_ticket(ticket) else "",
        found.get("result"),
    )


def _no_ticket(request: HttpCall, message: str, sent: bool) -> RunReport:
    """Judge a first call that got no ticket.

    Without a ticket nothing is run, so its loss is harmless; but a key may belong to an earlier
    request that did run.
    """
    if sent and KEY_HEADER in request.headers:
        todo = "ask again with the same key; else check at the upstream whether it ran"
        return _report(OutcomeKind.UNKNOWN, "no-answer", message, todo)
    return _report(OutcomeKind.REFUSED_NOT_RUN, "no-ticket", message, "try again, or another entry")


def _unknown(code: str, message: str, ticket: str) -> RunReport:
    todo = "read it again by `rhubarbhinge outcome`, or check at the upstream whether it ran"
    return _report(OutcomeKind.UNKNOWN, code, message, todo, ticket)


def _report(kind: OutcomeKind, code: str, message: str, todo: str, ticket: str = "") -> RunReport:
    return RunReport(kind, Fault("", code, message, todo), ticket)
