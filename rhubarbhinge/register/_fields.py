"""Parsers of single JSON values.

A parser takes a fault log, a place and a raw value. It returns the checked value, or ``None`` after
recording a fault. ``None`` is unambiguous because no published field allows ``null``.
"""

import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from typing import Any

from rhubarbhinge.register._faults import FaultLog
from rhubarbhinge.register._json import field_path

ValueParser = Callable[[FaultLog, str, object], Any]
"""``(log, place, raw) -> value | None``."""

MAX_NAME_LENGTH = 100
"""Maximum length of a name; keeps log lines and metric labels short."""

MAX_QUOTED_CHARACTERS = 60
"""Maximum number of characters of an invalid value that a fault message quotes."""

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


def name(log: FaultLog, place: str, raw: object) -> str | None:
    """Parse a name of letters, digits, dots, dashes and underscores."""
    if not isinstance(raw, str):
        return _report_wrong_type(log, place, raw, "a string")
    if len(raw) > MAX_NAME_LENGTH or not _NAME_PATTERN.fullmatch(raw):
        message = f"{format_value(raw)} is not a name"
        todo = f"use 1 to {MAX_NAME_LENGTH} of A-Z a-z 0-9 . _ - and start with a letter or digit"
        return log.add(place, "bad-name", message, todo)
    return raw


def integer(minimum: int, maximum: int) -> ValueParser:
    """Return a parser of integers.

    :param minimum: Smallest number accepted.
    :param maximum: Largest number accepted.
    :returns: The parser.
    """

    def parse(log: FaultLog, place: str, raw: object) -> int | None:
        if isinstance(raw, bool) or not isinstance(raw, int):
            return _report_wrong_type(log, place, raw, "an integer")
        if not minimum <= raw <= maximum:
            return _report_out_of_range(log, place, raw, minimum, maximum)
        return raw

    return parse


def number(minimum: float, maximum: float) -> ValueParser:
    """Return a parser of finite numbers.

    :param minimum: Smallest number accepted.
    :param maximum: Largest number accepted.
    :returns: The parser.
    """

    def parse(log: FaultLog, place: str, raw: object) -> float | None:
        if isinstance(raw, bool) or not isinstance(raw, int | float) or not math.isfinite(raw):
            return _report_wrong_type(log, place, raw, "a number")
        if not minimum <= raw <= maximum:
            return _report_out_of_range(log, place, raw, minimum, maximum)
        return float(raw)

    return parse


def boolean(log: FaultLog, place: str, raw: object) -> bool | None:
    """Parse ``true`` or ``false``."""
    if not isinstance(raw, bool):
        return _report_wrong_type(log, place, raw, "true or false")
    return raw


def choice(*options: str) -> ValueParser:
    """Return a parser that accepts only given strings.

    :param options: The strings accepted.
    :returns: The parser.
    """
    listed = " or ".join(options)

    def parse(log: FaultLog, place: str, raw: object) -> str | None:
        if not isinstance(raw, str):
            return _report_wrong_type(log, place, raw, listed)
        if raw not in options:
            return log.add(
                place, "unknown-choice", f"{format_value(raw)} is unknown", f"write {listed}"
            )
        return raw

    return parse


def ip_address(log: FaultLog, place: str, raw: object) -> str | None:
    """Parse a numeric IP address of a single host; multicast and unspecified are refused."""
    if not isinstance(raw, str):
        return _report_wrong_type(log, place, raw, "an IP address")
    address = _parse_ip_address(raw)
    if address is None or address.is_multicast or address.is_unspecified:
        message = f"{format_value(raw)} is not the IP address of a host"
        todo = "write a numeric address, such as 10.0.0.7; host names are not resolved"
        return log.add(place, "bad-ip", message, todo)
    return raw


def array(parse_item: ValueParser, minimum: int, maximum: int) -> ValueParser:
    """Return a parser of lists.

    :param parse_item: Parser of one item.
    :param minimum: Minimum number of items.
    :param maximum: Maximum number of items.
    :returns: A parser that returns a tuple, with ``None`` for each invalid item.
    """

    def parse(log: FaultLog, place: str, raw: object) -> tuple | None:
        if not isinstance(raw, list):
            return _report_wrong_type(log, place, raw, "a list")
        if not minimum <= len(raw) <= maximum:
            message = f"the list has {len(raw)} items"
            log.add(place, "bad-count", message, f"list {minimum} to {maximum} items")
        items = enumerate(raw[:maximum])
        return tuple(parse_item(log, f"{place}[{index}]", item) for index, item in items)

    return parse


def record(
    build: Callable[..., Any],
    parsers: Mapping[str, ValueParser],
    optional: frozenset[str] = frozenset(),
    argument_names: Mapping[str, str] | None = None,
) -> ValueParser:
    """Return a parser of objects with known fields.

    :param build: Called with the field values if all of them are valid.
    :param parsers: Parser of each field, by field name.
    :param optional: Fields that may be left out.
    :param argument_names: Argument of `build`, by field name, where the two differ.
    :returns: The parser.
    """
    argument_names = argument_names or {}

    def parse(log: FaultLog, place: str, raw: object) -> Any:
        if not isinstance(raw, dict):
            return _report_wrong_type(log, place, raw, "an object")
        faults_before = log.count
        values = {}
        prefix = f"{place}." if place else ""
        for key, parser in parsers.items():
            if key in raw:
                values[argument_names.get(key, key)] = parser(log, prefix + key, raw[key])
            elif key not in optional:
                log.add(prefix + key, "missing-field", "the field is missing", "add it")
        _report_unknown_fields(log, place, raw, parsers)
        return build(**values) if log.count == faults_before else None

    return parse


def format_value(raw: object) -> str:
    """Format a raw value for a message, in bounded length and plain ASCII.

    :param raw: The value.
    :returns: The value; for a list or an object, only its type.
    """
    if isinstance(raw, dict):
        return "an object"
    if isinstance(raw, list):
        return "a list"
    if raw is None or isinstance(raw, bool):
        return {None: "null", True: "true", False: "false"}[raw]
    if isinstance(raw, str):
        return ascii(raw[:MAX_QUOTED_CHARACTERS])
    return str(raw)[:MAX_QUOTED_CHARACTERS]


def _parse_ip_address(raw: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    if "%" in raw:
        return None
    try:
        return ipaddress.ip_address(raw)
    except ValueError:
        return None


def _report_unknown_fields(
    log: FaultLog, place: str, raw: dict, parsers: Mapping[str, ValueParser]
) -> None:
    for key in sorted(raw.keys() - parsers.keys()):
        message = "the field is unknown"
        todo = "remove it or correct its name; known fields: " + ", ".join(parsers)
        log.add(field_path(place, key), "unknown-field", message, todo)


def _report_wrong_type(log: FaultLog, place: str, raw: object, expected: str) -> None:
    log.add(place, "wrong-type", f"{format_value(raw)} is not {expected}", f"write {expected}")


def _report_out_of_range(
    log: FaultLog, place: str, raw: float, minimum: float, maximum: float
) -> None:
    message = f"{format_value(raw)} is out of range"
    log.add(place, "out-of-range", message, f"write a number from {minimum} to {maximum}")
