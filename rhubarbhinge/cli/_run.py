"""The ``run`` and ``outcome`` commands."""

import json
import sys
import time
from pathlib import Path
from typing import Any

from rhubarbhinge.cli._arguments import entry_url, usage, whole
from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._http import HttpCall, call_http
from rhubarbhinge.cli._result import CommandResult
from rhubarbhinge.cli._run_flow import (
    KEY_HEADER,
    RUN_PATH,
    RunReport,
    is_ticket,
    read_outcome,
    run_once,
)
from rhubarbhinge.once import OutcomeKind
from rhubarbhinge.register import Fault

DEFAULT_TIMEOUT_MS = "15000"
"""Longer than an entry gives a run."""

MOST_KEY_LENGTH = 200
MOST_BODY_BYTES = 1_048_576

_EXIT_CODES = {
    OutcomeKind.RAN: ExitCode.DONE,
    OutcomeKind.REFUSED_NOT_RUN: ExitCode.NOT_RUN,
    OutcomeKind.UNKNOWN: ExitCode.UNKNOWN,
}


def run(
    entry: str, action: str, body: str, key: str = "", timeout_ms: str = DEFAULT_TIMEOUT_MS
) -> CommandResult:
    """Run an action once, and say which of the three outcomes it had.

    Prints ran (exit code 0), refused_not_run (3) or unknown (4). The request that starts the run is
    sent a single time; a lost answer is read again, which runs nothing.

    :param entry: ip:port of the entry's HTTP side
    :param action: name of the action
    :param body: the action's fields, a JSON object, or @FILE to read them from
    :param key: Idempotency-Key, to ask again by after a lost answer
    :param timeout_ms: time for each answer, in milliseconds
    """
    url = entry_url(entry)
    allowed_ms = whole("timeout-ms", timeout_ms)
    fields = _body(body)
    for found in (url, allowed_ms, fields):
        if isinstance(found, CommandResult):
            return found
    if key and not (key.isascii() and key.isprintable() and len(key) <= MOST_KEY_LENGTH):
        return usage("the key isn't plain text", f"use up to {MOST_KEY_LENGTH} ASCII characters")
    headers = {KEY_HEADER: key} if key else {}
    content = {"action": action, "body": fields}
    request = HttpCall("POST", url + RUN_PATH, allowed_ms, content, headers)
    return _run(url, request)


def outcome(entry: str, ticket: str, timeout_ms: str = DEFAULT_TIMEOUT_MS) -> CommandResult:
    """Read the outcome of a run again; this runs nothing.

    :param entry: ip:port of an entry's HTTP side
    :param ticket: the ticket that `run` printed
    :param timeout_ms: time for the answer, in milliseconds
    """
    url = entry_url(entry)
    allowed_ms = whole("timeout-ms", timeout_ms)
    for found in (url, allowed_ms):
        if isinstance(found, CommandResult):
            return found
    if not is_ticket(ticket):
        return usage("this isn't a ticket", "give the ticket as `run` printed it")
    return _result(read_outcome(call_http, url, ticket, allowed_ms))


def _run(url: str, request: HttpCall) -> CommandResult:
    try:
        report = run_once(call_http, url, request, _sleep, _note_ticket)
    except KeyboardInterrupt:
        todo = "read the outcome of the ticket, if one was printed; else check at the upstream"
        fault = Fault("", "interrupted", "stopped before an outcome was known", todo)
        report = RunReport(OutcomeKind.UNKNOWN, fault)
    return _result(report)


def _sleep(pause_ms: int) -> None:
    time.sleep(pause_ms / 1000)


def _note_ticket(ticket: str) -> None:
    """Tell the ticket at once: the process may be stopped before there is an outcome."""
    print(f"info code=ticket ticket={ticket}", file=sys.stderr, flush=True)


def _body(text: str) -> dict[str, Any] | CommandResult:
    if text.startswith("@"):
        try:
            with Path(text[1:]).open("rb") as file:
                text = file.read(MOST_BODY_BYTES + 1).decode()
        except (OSError, ValueError) as error:
            return usage(f"the body can't be read: {error}", "give a readable file of JSON")
    if len(text) > MOST_BODY_BYTES:
        return usage("the body is too long", f"send up to {MOST_BODY_BYTES} bytes")
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return usage(f"the body isn't JSON: {error}", 'give an object, such as {"part": "b-17"}')
    if not isinstance(value, dict):
        return usage("the body isn't an object", 'give an object, such as {"part": "b-17"}')
    return value


def _result(report: RunReport) -> CommandResult:
    lines = [report.kind.value]
    if report.ticket:
        lines.append(f"ticket: {report.ticket}")
    if report.kind is OutcomeKind.RAN:
        lines.append(f"result: {json.dumps(report.result)}")
        return CommandResult(ExitCode.DONE, tuple(lines))
    return CommandResult(_EXIT_CODES[report.kind], tuple(lines), (report.fault,))
