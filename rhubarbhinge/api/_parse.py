"""Parsing and validation of request bodies."""

import math
from collections.abc import Mapping
from typing import Any

import orjson

from rhubarbhinge.api._apierror import ApiError
from rhubarbhinge.api._commands import RunCommand, SearchCommand
from rhubarbhinge.api._rawfield import raw_field
from rhubarbhinge.register import Register, Rules
from rhubarbhinge.utils.nesting import is_nesting_within

#: Maximum length of a search text, in characters; far above what people type on phones.
MAX_TEXT_LENGTH = 1_000
DEFAULT_LIMIT = 10
MAX_LIMIT = 1_000
#: A caller may request a deadline shorter than that of its traffic class, but not below this.
MIN_DEADLINE_MS = 5.0
#: Maximum nesting depth of lists and objects in the body of a run request; JSON parsers of
#: upstreams have depth limits of their own.
MAX_BODY_DEPTH = 64

_SEARCH_FIELDS = frozenset({"collection", "text", "limit", "class", "deadline_ms"})


def parse_search(body: bytes, register: Register, rules: Rules) -> SearchCommand | ApiError:
    """Parse and validate a search request.

    :param body: the request body; untrusted.
    :param register: the current register.
    :param rules: the current rules.
    :returns: the search, or the error to respond with.
    """
    document = _parse_object(body)
    if isinstance(document, ApiError):
        return document
    unknown = sorted(set(document) - _SEARCH_FIELDS)
    if unknown:
        return _bad_request(f"unknown field {unknown[0]!r}", "Send only the documented fields.")
    collection = document.get("collection")
    if not isinstance(collection, str):
        return _bad_request(
            "collection has to be a string", "Name one of the register's collections."
        )
    if register.collection(collection) is None:
        return ApiError(
            404,
            "unknown-collection",
            f"The register has no collection {collection[:80]!r}.",
            "Name one of the register's collections.",
        )
    return _parse_search_fields(document, collection, rules)


def _parse_search_fields(
    document: Mapping[str, Any], collection: str, rules: Rules
) -> SearchCommand | ApiError:
    text = document.get("text")
    if not isinstance(text, str) or not 0 < len(text) <= MAX_TEXT_LENGTH:
        return _bad_request(
            f"text has to be a string of 1 to {MAX_TEXT_LENGTH} characters",
            "Send the words to search for.",
        )
    limit = document.get("limit", DEFAULT_LIMIT)
    if not _is_int(limit) or not 0 < limit <= MAX_LIMIT:
        return _bad_request(
            f"limit has to be a whole number, 1 to {MAX_LIMIT}", "Ask for fewer hits."
        )
    requested_class = document.get("class")
    if requested_class is not None and (
        not isinstance(requested_class, str) or rules.traffic_class(requested_class) is None
    ):
        return _bad_request(
            "class has to be one of the rules' classes", "Leave it out, or correct it."
        )
    traffic_class = rules.class_for(collection, requested_class)
    deadline_ms = document.get("deadline_ms", traffic_class.deadline_ms)
    if not _is_finite_number(deadline_ms) or deadline_ms < MIN_DEADLINE_MS:
        return _bad_request(
            f"deadline_ms has to be a number of at least {MIN_DEADLINE_MS:g}",
            "Leave it out for the class's own deadline.",
        )
    time_limit_ms = min(float(deadline_ms), float(traffic_class.deadline_ms))
    return SearchCommand(collection, text, limit, traffic_class, time_limit_ms)


def parse_run(body: bytes, register: Register) -> RunCommand | ApiError:
    """Parse and validate a request to run an action.

    :param body: the request body; untrusted.
    :param register: the current register.
    :returns: the command, or the error to respond with.
    """
    document = _parse_object(body)
    if isinstance(document, ApiError):
        return document
    action = document.get("action")
    if not isinstance(action, str):
        return _bad_request("action has to be a string", "Name one of the register's actions.")
    if register.action(action) is None:
        return ApiError(
            404,
            "unknown-action",
            f"The register has no action {action[:80]!r}.",
            "Name one of the register's actions.",
        )
    if not isinstance(document.get("body"), dict):
        return _bad_request("body has to be an object", "Send the action's own fields in it.")
    if not is_nesting_within(document, MAX_BODY_DEPTH):
        return _bad_request(
            f"the body is nested deeper than {MAX_BODY_DEPTH} levels", "Send a flatter body."
        )
    return RunCommand(action, body)


def action_fields(body: bytes) -> bytes:
    """Extract the action's fields from a validated run request, byte for byte.

    :param body: a request body that :func:`parse_run` accepted.
    :returns: the JSON text of the fields.
    """
    return raw_field(body.decode(), "body").encode()


def _parse_object(body: bytes) -> Mapping[str, Any] | ApiError:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _bad_request("the body is not JSON", "Send a JSON object.")
    if not isinstance(document, dict):
        return _bad_request("the body is not an object", "Send a JSON object.")
    return document


def _bad_request(message: str, todo: str) -> ApiError:
    return ApiError(400, "bad-request", message, todo)


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_finite_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
