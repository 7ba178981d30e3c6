"""Strict JSON: bounded, shallow, without duplicate keys.

orjson does the parsing and refuses NaN, infinities and bad UTF-8. It keeps the last of two equal
keys, which would hide half of what an operator wrote, so the standard library's parser goes over
the accepted bytes once more only to find such keys.
"""

import itertools
import json
import re

import orjson

from rhubarbhinge.register._faults import FaultLog

MOST_BYTES = 1_000_000
"""Size of the largest document; the configuration service holds values up to a megabyte."""

MOST_DEPTH = 16
"""Levels of nesting; the published documents need six."""

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"?', re.DOTALL)
"""A text; one that never closes runs to the end, so that its inner quotes aren't tried in turn."""

_BRACKETS = b"[]{}"
_OTHER_BYTES = bytes(set(range(256)) - set(_BRACKETS))
_STEPS = {byte: 1 if byte in b"[{" else -1 for byte in _BRACKETS}


class _Pairs(list):
    """Key and value pairs of one object."""


def load(data: bytes, log: FaultLog) -> object | None:
    """Parse a document.

    :param data: The raw document.
    :param log: Gets the faults.
    :returns: The parsed value; ``None`` after a fault.
    """
    if len(data) > MOST_BYTES:
        message = f"the document has {len(data)} bytes, more than {MOST_BYTES}"
        log.add("", "too-large", message, "split or shorten the document")
        return None
    if _too_deep(data):
        message = f"the document is nested more than {MOST_DEPTH} levels deep"
        log.add("", "too-deep", message, "follow docs/architecture.md")
        return None
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        log.add("", "not-json", f"the document isn't JSON: {error}", "correct the syntax")
        return None
    _report_duplicate_keys(data, log)
    return value


def path(place: str, key: str) -> str:
    """Extend a place by a field name.

    :param place: Path of the object; empty for the document.
    :param key: Name of the field.
    :returns: Path of the field, with an unprintable or long name shortened and quoted.
    """
    shown = key if re.fullmatch(r"[A-Za-z0-9_-]{1,60}", key) else ascii(key[:40])
    return f"{place}.{shown}" if place else shown


def _too_deep(data: bytes) -> bool:
    brackets = _STRING.sub(b"", data).translate(None, _OTHER_BYTES)
    depths = itertools.accumulate(map(_STEPS.__getitem__, brackets))
    return max(depths, default=0) > MOST_DEPTH


def _report_duplicate_keys(data: bytes, log: FaultLog) -> None:
    seen = False

    def note(pairs: list[tuple[str, object]]) -> None:
        nonlocal seen
        seen = seen or len(dict(pairs)) != len(pairs)

    _scan(data, note)
    if seen:
        _walk(_scan(data, _Pairs), "", log)


def _scan(data: bytes, hook) -> object:
    """Parse with numbers left as text, since huge ones are costly or refused."""
    return json.loads(data.decode(), object_pairs_hook=hook, parse_int=str, parse_float=str)


def _walk(value: object, place: str, log: FaultLog) -> None:
    if isinstance(value, _Pairs):
        _walk_object(value, place, log)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _walk(item, f"{place}[{index}]", log)


def _walk_object(pairs: _Pairs, place: str, log: FaultLog) -> None:
    seen = set()
    for key, value in pairs:
        if key in seen:
            message = "the field is given twice"
            log.add(path(place, key), "duplicate-key", message, "keep one of the two")
        seen.add(key)
        _walk(value, path(place, key), log)
