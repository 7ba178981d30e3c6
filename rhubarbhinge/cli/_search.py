"""The ``search`` command."""

import json
from dataclasses import replace
from typing import Any

from rhubarbhinge.cli._answers import call_failed, error_answer
from rhubarbhinge.cli._arguments import entry_url, flag, whole
from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._explanation import shown_share
from rhubarbhinge.cli._http import Caller, CallFailed, HttpCall, call_http
from rhubarbhinge.cli._result import CommandResult, printable
from rhubarbhinge.cli._tables import table

DEADLINE_MARGIN_MS = 2_000
"""Time for the network beyond the deadline that the caller asks for."""

DEFAULT_TIMEOUT_MS = 60_000
"""Time for the answer when the class's own deadline holds."""


def search(
    entry: str,
    collection: str,
    text: str,
    traffic_class: str = "",
    limit: str = "10",
    deadline_ms: str = "",
    as_json: str = "",
) -> CommandResult:
    """Search a collection through an entry, and show what the answer covers.

    :param entry: ip:port of the entry's HTTP side
    :param collection: name of the collection
    :param text: words to search for
    :param traffic_class: class to search in; else the collection's own
    :param limit: most hits to show
    :param deadline_ms: time for the answer, in milliseconds; else the class's own
    :param as_json: print the answer as it came
    """
    url = entry_url(entry)
    most = whole("limit", limit)
    allowed_ms = whole("deadline-ms", deadline_ms) if deadline_ms else None
    for found in (url, most, allowed_ms):
        if isinstance(found, CommandResult):
            return found
    body = {"collection": collection, "text": text, "limit": most}
    if traffic_class:
        body["class"] = traffic_class
    if allowed_ms:
        body["deadline_ms"] = allowed_ms
    timeout_ms = allowed_ms + DEADLINE_MARGIN_MS if allowed_ms else DEFAULT_TIMEOUT_MS
    return search_by(
        call_http, HttpCall("POST", f"{url}/v1/search", timeout_ms, body), flag(as_json)
    )


def search_by(caller: Caller, call: HttpCall, as_json: bool) -> CommandResult:
    """Make a search and render its answer.

    :param caller: Makes the call.
    :param call: The call.
    :param as_json: Whether to print the answer as it came.
    :returns: The result.
    """
    answer = caller(call)
    if isinstance(answer, CallFailed):
        return call_failed(answer)
    found = answer.objects()
    lines = (json.dumps(found),) if as_json else tuple(_lines(found))
    if answer.status != 200 or not isinstance(found.get("coverage"), dict):
        return replace(error_answer(answer), lines=lines)
    return CommandResult(ExitCode.DONE, lines)


def _lines(found: dict[str, Any]) -> list[str]:
    """Show what is covered, also of an answer that was refused for being too thin."""
    if not isinstance(found.get("coverage"), dict):
        return []
    snapshot = found.get("snapshot") if isinstance(found.get("snapshot"), dict) else {}
    name, version = (printable(snapshot.get(key, "?")) for key in ("collection", "version"))
    return [
        _covered(found["coverage"]),
        *_missing(found["coverage"]),
        f"snapshot: {name}, version {version}",
        *_hits(found.get("hits")),
    ]


def _covered(coverage: dict[str, Any]) -> str:
    fraction = coverage.get("fraction")
    share = shown_share(fraction) if isinstance(fraction, int | float) else "unknown"
    records, total = (printable(coverage.get(key, "?")) for key in ("records", "total_records"))
    return f"covered: {share}, {records} of {total} records"


def _missing(coverage: dict[str, Any]) -> list[str]:
    missing = coverage.get("missing")
    ranges = [each for each in missing if isinstance(each, dict)] if missing else []
    return [
        "not covered: keys {} to {}, {} records, {}".format(
            *(printable(each.get(key, "?")) for key in ("lo", "hi", "records", "why"))
        )
        for each in ranges
    ]


def _hits(hits: object) -> list[str]:
    if not isinstance(hits, list):
        return []
    found = [each for each in hits if isinstance(each, dict)]
    if not found:
        return ["", "no hits"]
    columns = ("score", "id", "title")
    return ["", *table(columns, [[each.get(key) for key in columns] for each in found])]
