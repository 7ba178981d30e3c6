"""Errors that a node answered with."""

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._http import CallFailed, HttpAnswer
from rhubarbhinge.cli._result import CommandResult, failed
from rhubarbhinge.register import Fault


def call_failed(found: CallFailed) -> CommandResult:
    """Report a call without an answer.

    :param found: Why there is none.
    :returns: The result.
    """
    todo = "check the address, and that the node runs"
    return failed("no-answer", found.message, todo)


def error_answer(answer: HttpAnswer) -> CommandResult:
    """Report an answer that isn't the one wanted.

    :param answer: The answer.
    :returns: The result, with exit code 3 if the node said that nothing was run.
    """
    error = answer.objects().get("error")
    if not isinstance(error, dict):
        todo = "check that the address is a node's HTTP port"
        return failed("strange-answer", f"HTTP status {answer.status}, without a reason", todo)
    not_run = error.get("not_run") is True
    return CommandResult(ExitCode.NOT_RUN if not_run else ExitCode.FAULT, faults=(fault_of(error),))


def fault_of(error: dict) -> Fault:
    """Turn a coded answer into a fault.

    :param error: Object with ``code``, ``message`` and ``todo``.
    :returns: The fault.
    """
    code, message, todo = (_text(error, key) for key in ("code", "message", "todo"))
    retry_after_ms = error.get("retry_after_ms")
    if isinstance(retry_after_ms, int | float):
        todo = f"{todo} Come back after {retry_after_ms:g} ms.".strip()
    word = "".join(char for char in code if char.isascii() and (char.isalnum() or char in "-_"))
    return Fault("", word or "no-code", message, todo)


def _text(error: dict, key: str) -> str:
    value = error.get(key)
    return value if isinstance(value, str) else ""
