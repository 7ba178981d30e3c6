"""Check callers' request bodies."""

import math
from collections.abc import Mapping
from typing import Any

import orjson

from rhubarbhinge.api._apierror import ApiError
from rhubarbhinge.api._commands import RunCommand, SearchCommand
from rhubarbhinge.api._rawfield import raw_field
from rhubarbhinge.register import Register, Rules
from rhubarbhinge.utils.nesting import is_nesting_within

#: Longest search text: far above what people type on phones.
MOST_TEXT_CHARACTERS = 1_000
DEFAULT_LIMIT = 10
MOST_LIMIT = 1_000
#: A caller may shorten its class's deadline, not below this.
LEAST_DEADLINE_MS = 5.0
#: Levels of lists and objects in a run's body; parsers of upstreams have bounds of their own.
MOST_DEPTH = 64

_SEARCH_FIELDS = frozenset({"collection", "text", "limit", "class", "deadline_ms"})


def parse_search(body: bytes, register: Register, rules: Rules) -> SearchCommand | ApiError:
    """Check a search.

    :param body: the request's body, from anyone.
    :param register: the register in force.
    :param rules: the rules in force.
    :returns: the search, or what is wrong with it.
    """
    document = _document(body)
    if isinstance(document, ApiError):
        return document
    unknown = sorted(set(document) - _SEARCH_FIELDS)
    if unknown:
        return _bad(f"unknown field {unknown[0]!r}", "Send only the documented fields.")
    collection = document.get("collection")
    if not isinstance(collection, str):
        return _bad("collection has to be a string", "Name one of the register's collections.")
    if register.collection(collection) is None:
        return ApiError(
            404,
            "unknown-collection",
            f"The register has no collection {collection[:80]!r}.",
            "Name one of the register's collections.",
        )
    return _search(document, collection, rules)


def _search(document: Mapping[str, Any], collection: str, rules: Rules) -> SearchCommand | ApiError:
    text = document.get("text")
    if not isinstance(text, str) or not 0 < len(text) <= MOST_TEXT_CHARACTERS:
        return _bad(
            f"text has to be a string of 1 to {MOST_TEXT_CHARACTERS} characters",
            "Send the words to search for.",
        )
    limit = document.get("limit", DEFAULT_LIMIT)
    if not _is_int(limit) or not 0 < limit <= MOST_LIMIT:
        return _bad(f"limit has to be a whole number, 1 to {MOST_LIMIT}", "Ask for fewer hits.")
    asked = document.get("class")
    if asked is not None and (not isinstance(asked, str) or rules.traffic_class(asked) is None):
        return _bad("class has to be one of the rules' classes", "Leave it out, or correct it.")
    traffic_class = rules.class_for(collection, asked)
    deadline_ms = document.get("deadline_ms", traffic_class.deadline_ms)
    if not _is_number(deadline_ms) or deadline_ms < LEAST_DEADLINE_MS:
        return _bad(
            f"deadline_ms has to be a number of at least {LEAST_DEADLINE_MS:g}",
            "Leave it out for the class's own deadline.",
        )
    allowed_ms = min(float(deadline_ms), float(traffic_class.deadline_ms))
    return SearchCommand(collection, text, limit, traffic_class, allowed_ms)


def parse_run(body: bytes, register: Register) -> RunCommand | ApiError:
    """Check a request to run an action.

    :param body: the request's body, from anyone.
    :param register: the register in force.
    :returns: the command, or what is wrong with it.
    """
    document = _document(body)
    if isinstance(document, ApiError):
        return document
    action = document.get("action")
    if not isinstance(action, str):
        return _bad("action has to be a string", "Name one of the register's actions.")
    if register.action(action) is None:
        return ApiError(
            404,
            "unknown-action",
            f"The register has no action {action[:80]!r}.",
            "Name one of the register's actions.",
        )
    if not isinstance(document.get("body"), dict):
        return _bad("body has to be an object", "Send the action's own fields in it.")
    if not is_nesting_within(document, MOST_DEPTH):
        return _bad(f"the body is nested deeper than {MOST_DEPTH} levels", "Send a flatter body.")
    return RunCommand(action, body)


def run_fields(body: bytes) -> bytes:
    """Take the action's own fields out of a run request that was checked, byte for byte.

    :param body: as given to :func:`parse_run`.
    :returns: the fields, JSON.
    """
    return raw_field(body.decode(), "body").encode()


def _document(body: bytes) -> Mapping[str, Any] | ApiError:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _bad("the body is not JSON", "Send a JSON object.")
    if not isinstance(document, dict):
        return _bad("the body is not an object", "Send a JSON object.")
    return document


def _bad(message: str, todo: str) -> ApiError:
    return ApiError(400, "bad-request", message, todo)


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
