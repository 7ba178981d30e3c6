"""Strict JSON parsing: bounded size and depth, no duplicate keys.

orjson does the parsing and refuses NaN, infinities and invalid UTF-8. For duplicate keys it keeps
the last value, which would silently drop part of what an operator wrote. The standard library's
parser therefore goes over the accepted bytes a second time, only to find such keys.
"""

import itertools
import json
import re

import orjson

from rhubarbhinge.register._faults import FaultLog

MAX_DOCUMENT_BYTES = 1_000_000
"""Maximum size of a document; the configuration service stores values of up to one megabyte."""

MAX_DEPTH = 16
"""Maximum nesting depth; the published documents need six levels."""

_STRING_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*+"?', re.DOTALL)
"""A JSON string. An unterminated one matches to the end of the data; otherwise the pattern would be
tried at each of its inner quotes, in quadratic time."""

_BRACKETS = b"[]{}"
_OTHER_BYTES = bytes(set(range(256)) - set(_BRACKETS))
_DEPTH_CHANGES = {byte: 1 if byte in b"[{" else -1 for byte in _BRACKETS}


class _KeyValuePairs(list):
    """Key-value pairs of one object, including duplicates."""


def parse_json(data: bytes, log: FaultLog) -> object | None:
    """Parse a document.

    :param data: The raw document.
    :param log: Receives the faults.
    :returns: The parsed value; ``None`` after a fault.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        message = f"the document has {len(data)} bytes, more than {MAX_DOCUMENT_BYTES}"
        log.add("", "too-large", message, "split or shorten the document")
        return None
    if _exceeds_max_depth(data):
        message = f"the document is nested more than {MAX_DEPTH} levels deep"
        log.add("", "too-deep", message, "follow docs/architecture.md")
        return None
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        log.add("", "not-json", f"the document is not JSON: {error}", "correct the syntax")
        return None
    _report_duplicate_keys(data, log)
    return value


def field_path(place: str, key: str) -> str:
    """Append a field name to the path of an object.

    :param place: Path of the object; empty for the document itself.
    :param key: Name of the field.
    :returns: Path of the field, with an unprintable or long name shortened and quoted.
    """
    label = key if re.fullmatch(r"[A-Za-z0-9_-]{1,60}", key) else ascii(key[:40])
    return f"{place}.{label}" if place else label


def _exceeds_max_depth(data: bytes) -> bool:
    brackets = _STRING_PATTERN.sub(b"", data).translate(None, _OTHER_BYTES)
    depths = itertools.accumulate(map(_DEPTH_CHANGES.__getitem__, brackets))
    return max(depths, default=0) > MAX_DEPTH


def _report_duplicate_keys(data: bytes, log: FaultLog) -> None:
    found_duplicate = False

    def check_pairs(pairs: list[tuple[str, object]]) -> None:
        nonlocal found_duplicate
        found_duplicate = found_duplicate or len(dict(pairs)) != len(pairs)

    _parse_with_hook(data, check_pairs)
    if found_duplicate:
        _report_duplicates_in(_parse_with_hook(data, _KeyValuePairs), "", log)


def _parse_with_hook(data: bytes, hook) -> object:
    """Parse, leaving numbers as strings: huge integers are slow to convert or are refused."""
    return json.loads(data.decode(), object_pairs_hook=hook, parse_int=str, parse_float=str)


def _report_duplicates_in(value: object, place: str, log: FaultLog) -> None:
    if isinstance(value, _KeyValuePairs):
        _report_duplicates_in_object(value, place, log)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _report_duplicates_in(item, f"{place}[{index}]", log)


def _report_duplicates_in_object(pairs: _KeyValuePairs, place: str, log: FaultLog) -> None:
    seen = set()
    for key, value in pairs:
        if key in seen:
            message = "the field occurs more than once"
            log.add(field_path(place, key), "duplicate-key", message, "keep only one of them")
        seen.add(key)
        _report_duplicates_in(value, field_path(place, key), log)
