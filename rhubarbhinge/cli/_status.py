"""The ``status`` command."""

import json
from typing import Any

from rhubarbhinge.cli._answers import call_failed, error_answer
from rhubarbhinge.cli._arguments import entry_url, flag, whole
from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._http import Caller, CallFailed, HttpCall, call_http
from rhubarbhinge.cli._result import CommandResult, printable
from rhubarbhinge.cli._tables import table

DEFAULT_TIMEOUT_MS = "5000"
MOST_DEPTH = 6
"""Levels of nesting that are laid out; deeper values are printed as JSON."""


def status(node: str, timeout_ms: str = DEFAULT_TIMEOUT_MS, as_json: str = "") -> CommandResult:
    """Show what a node knows: revisions and their age, members, drains, slots and budgets.

    :param node: ip:port of the node's HTTP side
    :param timeout_ms: time for the answer, in milliseconds
    :param as_json: print the answer as it came
    """
    url = entry_url(node)
    allowed_ms = whole("timeout-ms", timeout_ms)
    for found in (url, allowed_ms):
        if isinstance(found, CommandResult):
            return found
    return status_by(call_http, HttpCall("GET", f"{url}/v1/status", allowed_ms), flag(as_json))


def status_by(caller: Caller, call: HttpCall, as_json: bool) -> CommandResult:
    """Ask for the status and render it.

    :param caller: Makes the call.
    :param call: The call.
    :param as_json: Whether to print the answer as it came.
    :returns: The result.
    """
    answer = caller(call)
    if isinstance(answer, CallFailed):
        return call_failed(answer)
    if answer.status != 200 or not isinstance(answer.document, dict):
        return error_answer(answer)
    if as_json:
        return CommandResult(ExitCode.DONE, (json.dumps(answer.document),))
    return CommandResult(ExitCode.DONE, tuple(lay_out(answer.document)))


def lay_out(document: dict[str, Any], depth: int = 0) -> list[str]:
    """Lay out an object: scalars first, then sections, lists of objects as tables.

    :param document: The object.
    :param depth: Levels above it.
    :returns: The lines.
    """
    pad = "  " * depth
    flat = {key: value for key, value in document.items() if _is_flat(value)}
    width = max((len(printable(key)) for key in flat), default=0)
    lines = [f"{pad}{printable(key):<{width}}  {_scalar(flat[key])}" for key in flat]
    for key, value in document.items():
        if key not in flat:
            lines += [f"{pad}{printable(key)}:", *_section(value, depth + 1)]
    return lines


def _section(value: Any, depth: int) -> list[str]:
    pad = "  " * depth
    if depth >= MOST_DEPTH:
        return [pad + json.dumps(value)]
    if isinstance(value, dict) and _is_table(list(value.values())):
        rows = [{"name": key} | item for key, item in value.items()]
        return [pad + line for line in _rows(rows)]
    if isinstance(value, dict):
        return lay_out(value, depth)
    if _is_table(value):
        return [pad + line for line in _rows(value)]
    return [pad + json.dumps(item) for item in value]


def _rows(items: list[dict[str, Any]]) -> list[str]:
    columns = list(dict.fromkeys(key for item in items for key in item))
    rows = [[_cell(item.get(key)) for key in columns] for item in items]
    return table([printable(column) for column in columns], rows)


def _cell(value: Any) -> Any:
    return _scalar(value) if isinstance(value, list) else value


def _is_table(items: list[Any]) -> bool:
    """Tell whether items are objects of scalars, which fit in a table."""
    return bool(items) and all(
        isinstance(item, dict) and item and all(map(_is_flat, item.values())) for item in items
    )


def _is_flat(value: Any) -> bool:
    if isinstance(value, list):
        return not any(isinstance(item, dict | list) for item in value)
    return not isinstance(value, dict)


def _scalar(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(map(_scalar, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else printable(value)
